package org.wingstall.ctl;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.schema.check.InvalidDocumentException;

public class ConfigCheckTest {
    private static final String RELAY = String.join(
            "\n",
            "boxId: kgn-a-1",
            "failureDomain: kgn-a",
            "callerAddress: 10.1.0.41:8625",
            "readinessAddress: 10.1.0.41:8621",
            "operatorAddress: 10.1.0.41:7740",
            "peerAddress: 10.1.0.41:7741",
            "storeAddress: 10.200.1.7:8624",
            "");

    private static String check(String text) throws Exception {
        Path file = Files.createTempFile("check", ".yaml");
        Files.writeString(file, text);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ConfigCheck.check(file.toString(), new PrintStream(out));
        return out.toString(StandardCharsets.UTF_8).strip();
    }

    @Test
    public void settingsOfARelayAreValid() throws Exception {
        assertEquals(check(RELAY), "valid settings of a relay");
    }

    @DataProvider
    Object[][] badSettings() {
        return new Object[][] {
            {"processorShare: 1.5", "processorShare"},
            {"endpointIntervalMs: 1", "endpointIntervalMs"},
            {"leavingWithinMs: soon", "leavingWithinMs"},
        };
    }

    @Test(dataProvider = "badSettings")
    public void aBadValueIsNamed(String line, String named) {
        InvalidDocumentException failure =
                expectThrows(InvalidDocumentException.class, () -> check(RELAY + line + "\n"));
        assertTrue(failure.getMessage().contains(named), failure.getMessage());
    }
}
