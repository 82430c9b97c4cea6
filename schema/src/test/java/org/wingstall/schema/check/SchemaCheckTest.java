package org.wingstall.schema.check;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import com.fasterxml.jackson.databind.JsonNode;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.schema.settings.GatewaySettings;
import org.wingstall.schema.settings.Policy;
import org.wingstall.schema.table.PipelineRow;

public class SchemaCheckTest {
    private static final String VALID =
            """
            boxId: kgn-a-1
            failureDomain: kgn-a
            callerAddress: 127.0.0.1:8080
            operatorAddress: 127.0.0.1:8081
            peerAddress: 127.0.0.1:8082
            platformAddress: 127.0.0.1:9000
            """;

    @Test
    public void leftOutKeysTakeTheirDefaults() throws InvalidDocumentException {
        GatewaySettings settings = SchemaCheck.of(GatewaySettings.class).read(Json.readYaml(VALID));
        assertEquals(settings.getCallerLimits().getMaxBodyBytes(), 1048576);
        assertEquals(settings.getPolicy().getRouting(), Policy.Routing.EXPECTED_TIME);
        assertEquals(settings.getPeerSeeds().size(), 0);
    }

    @DataProvider
    Object[][] brokenSettings() {
        return new Object[][] {
            {"eventLoopThreads: 0", "eventLoopThreads", "0", "at least 1"},
            {"eventLoopThreads: many", "eventLoopThreads", "many", "of type number"},
            {"policy: {routing: fastest}", "policy.routing", "fastest", "one of "},
            {"policy: {rooting: fastest}", "policy.rooting", "unknown key", "one of [admission, routing"},
            {"shutdownGrace: 3", "shutdownGrace", "unknown key", "one of [boxId, failureDomain"},
            {"callerLimits: {requestReadMs: 10s}", "callerLimits.requestReadMs", "10s", "of type number"},
            {"callerAddress: localhost:1", "callerAddress", "localhost:1", "text matching"},
        };
    }

    @Test(dataProvider = "brokenSettings")
    public void brokenSettingNamesKeyValueAndWhatIsValid(String line, String key, String value, String valid)
            throws InvalidDocumentException {
        String name = line.substring(0, line.indexOf(':'));
        String text = VALID.replaceAll("(?m)^" + name + ":.*\n", "") + line + "\n";
        JsonNode tree = Json.readYaml(text);
        InvalidDocumentException e =
                expectThrows(InvalidDocumentException.class, () -> SchemaCheck.of(GatewaySettings.class)
                        .read(tree));
        assertEquals(e.key(), key);
        assertEquals(e.value(), value);
        assertEquals(e.valid().startsWith(valid), true, e.valid());
    }

    @Test
    public void stagesTakeTheirDefaultsToo() throws InvalidDocumentException {
        JsonNode tree = Json.readYaml("{name: p, deadlineMs: 100, stages: [{name: s, service: x, kind: pool}]}");
        PipelineRow row = SchemaCheck.of(PipelineRow.class).read(tree);
        assertEquals(row.getStages().get(0).isRepeatable(), true);
        assertEquals(row.getPrecedence(), 5);
    }
}
