package org.wingstall.schema.generate;

import static org.testng.Assert.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.schema.check.Json;

/** Committed sources are those that the schemas give; with {@code -Dwingstall.regenerate=true} they are written anew. */
public class GeneratedSourcesTest {
    private static final Path SETTINGS = Path.of("src/main/resources/org/wingstall/schema/settings/RelaySettings.json");

    @DataProvider
    public Object[][] sources() throws IOException {
        JsonNode settings = Json.MAPPER.readTree(Files.readString(SETTINGS));
        return new Object[][] {
            {
                "src/generated/java/org/wingstall/schema/settings/RelaySettingsReader.java",
                SettingsReaderGenerator.source("RelaySettings", settings)
            },
            {
                "../peer/src/generated/java/org/wingstall/peer/format/PeerFrameFormat.java",
                new FrameFormatGenerator().source()
            },
        };
    }

    @Test(dataProvider = "sources")
    public void theCommittedSourceIsWhatTheSchemasGive(String file, String source) throws IOException {
        if (Boolean.getBoolean("wingstall.regenerate")) {
            Files.writeString(Path.of(file), source);
        }
        assertEquals(Files.readString(Path.of(file)), source);
    }
}
