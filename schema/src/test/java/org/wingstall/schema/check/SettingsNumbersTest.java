package org.wingstall.schema.check;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.DoubleNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.schema.settings.GatewaySettings;
import org.wingstall.schema.settings.RelaySettings;

/** Numbers that operators set may have a fraction, whichever they are; values out of bounds still name what is valid. */
public class SettingsNumbersTest {
    private static final String ADDRESS = "10.1.0.41:8625";
    private static final double FRACTION = 0.25;

    @DataProvider
    public Object[][] numbers() throws IOException {
        List<Object[]> numbers = new ArrayList<>();
        for (Class<?> type : List.of(RelaySettings.class, GatewaySettings.class)) {
            collect(type, "", schema(type), numbers);
        }
        assertTrue(numbers.size() > 30, numbers.size() + " numbers were found");
        return numbers.toArray(Object[][]::new);
    }

    private static JsonNode schema(Class<?> type) throws IOException {
        String file = "/org/wingstall/schema/settings/" + type.getSimpleName() + ".json";
        try (InputStream in = SettingsNumbersTest.class.getResourceAsStream(file)) {
            return Json.MAPPER.readTree(in);
        }
    }

    private static void collect(Class<?> type, String prefix, JsonNode schema, List<Object[]> numbers) {
        schema.path("properties").properties().forEach(property -> {
            JsonNode rule = property.getValue();
            String key = prefix + property.getKey();
            if (rule.path("type").asText().matches("number|integer")) {
                numbers.add(new Object[] {type, key, rule});
            }
            collect(type, key + ".", rule, numbers);
        });
    }

    @Test(dataProvider = "numbers")
    public void eachNumberMayHaveAFraction(Class<?> type, String key, JsonNode rule) throws InvalidDocumentException {
        double within = Math.min(
                rule.path("minimum").asDouble() + FRACTION, rule.path("maximum").asDouble());
        JsonNode document = withValue(type, key, DoubleNode.valueOf(within));

        JsonNode read = Json.toTree(SchemaCheck.of(type).read(document));

        double taken = read.at("/" + key.replace('.', '/')).asDouble();
        assertTrue(Math.abs(taken - within) < 1, key + ": " + within + " was taken as " + taken);
    }

    @Test(dataProvider = "numbers")
    public void aNumberOutOfBoundsEndsWithItsNameAndWhatIsValid(Class<?> type, String key, JsonNode rule) {
        double beyond = rule.path("maximum").asDouble() + 1 + FRACTION;
        JsonNode document = withValue(type, key, DoubleNode.valueOf(beyond));

        InvalidDocumentException invalid = expectThrows(
                InvalidDocumentException.class, () -> SchemaCheck.of(type).read(document));

        assertEquals(invalid.key(), key);
        assertTrue(invalid.valid().startsWith("at most "), invalid.getMessage());
    }

    private static JsonNode withValue(Class<?> type, String key, JsonNode value) {
        ObjectNode document = JsonNodeFactory.instance.objectNode();
        for (String required : List.of("boxId", "failureDomain")) {
            document.set(required, TextNode.valueOf("east-1"));
        }
        for (String address : addressesOf(type)) {
            document.set(address, TextNode.valueOf(ADDRESS));
        }
        String[] path = key.split("\\.");
        ObjectNode at = document;
        for (int i = 0; i < path.length - 1; i++) {
            at = at.withObjectProperty(path[i]);
        }
        at.set(path[path.length - 1], value);
        return document;
    }

    private static List<String> addressesOf(Class<?> type) {
        return type == RelaySettings.class
                ? List.of("callerAddress", "readinessAddress", "operatorAddress", "peerAddress", "storeAddress")
                : List.of("callerAddress", "operatorAddress", "peerAddress", "platformAddress");
    }
}
