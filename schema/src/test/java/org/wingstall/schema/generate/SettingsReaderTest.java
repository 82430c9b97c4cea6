package org.wingstall.schema.generate;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.schema.check.InvalidDocumentException;
import org.wingstall.schema.check.Json;
import org.wingstall.schema.check.SchemaCheck;
import org.wingstall.schema.settings.RelaySettings;
import org.wingstall.schema.settings.RelaySettingsReader;

/** The generated reader of settings takes what the check takes, and nothing else. */
public class SettingsReaderTest {
    private static final String VALID =
            """
            boxId: kgn-a-1
            failureDomain: kgn-a
            callerAddress: 10.1.0.41:8625
            readinessAddress: 10.1.0.41:8621
            operatorAddress: 10.1.0.41:7740
            peerAddress: 10.1.0.41:7741
            storeAddress: 10.200.1.7:8624
            """;

    @DataProvider
    public Object[][] taken() {
        return new Object[][] {
            {""},
            {"retryBudgetExtra: 37.096774193548384\n"},
            {
                "retryBudgetRatio: 0.2\nretryBudgetExtra: 230\nstopGraceSeconds: 8\nprocessors: 1.5\nprocessorShare: 0.36\n"
            },
            {"configWaitMs: 100\nendpointIntervalMs: 60000\nleavingWithinMs: 2500.5\nstopNoticeMs: 0\n"},
            {"regions: kgn-a=jm-south,kgn-a=jm-south,kgn-b=jm-south\ncoldOverrun: 1.5\ncoldTolerance: 5\n"},
            {"\n\nregions: \"\"\n"},
            {"# a remark\nprocessors: 2 # cores\n"},
        };
    }

    @Test(dataProvider = "taken")
    public void whatOperatorsUsuallySetIsReadLikeByTheCheck(String lines) throws InvalidDocumentException {
        Optional<RelaySettings> read = RelaySettingsReader.read(VALID + lines);

        assertTrue(read.isPresent(), lines);
        assertEquals(Json.writeText(read.get()), Json.writeText(checked(VALID + lines)));
    }

    @DataProvider
    public Object[][] leftToTheCheck() {
        return new Object[][] {
            {VALID.replace("kgn-a-1", "123")},
            {VALID.replace("kgn-a-1", "Kgn")},
            {VALID.replace("kgn-a-1", "null")},
            {VALID.replace("10.200.1.7:8624", "store:8624")},
            {VALID.replace("boxId: kgn-a-1\n", "")},
            {VALID + "retryBudgetRatio: 1.01\n"},
            {VALID + "configWaitMs: 99.9\n"},
            {VALID + "configWaitMs: many\n"},
            {VALID + "configWaitMs: \"400\"\n"},
            {VALID + "regions: kgn-a\n"},
            {VALID + "coldOverrun: 100.5\n"},
            {VALID + "coldTolerance: -1\n"},
            {VALID + "stopGrace: 8\n"},
            {"- a list\n"},
            {"boxId: [kgn\n"},
            {""},
        };
    }

    @Test(dataProvider = "leftToTheCheck")
    public void whatIsNotValidIsRefusedByTheCheck(String document) {
        assertEquals(RelaySettingsReader.read(document), Optional.empty());
        expectThrows(InvalidDocumentException.class, () -> checked(document));
    }

    @DataProvider
    public Object[][] unusual() {
        return new Object[][] {
            {VALID + "configWaitMs: 1e3\n"},
            {VALID + "configWaitMs: 0x1F4\n"},
            {VALID + "retryBudgetExtra: 010\n"},
            {VALID.replace("kgn-a-1", "no")},
            {VALID.replace("boxId:", "boxId: !!str")},
        };
    }

    @Test(dataProvider = "unusual")
    public void whatReadersOfYamlMayTakeInSeveralWaysIsLeftToTheCheck(String document) {
        assertEquals(RelaySettingsReader.read(document), Optional.empty());
    }

    private static RelaySettings checked(String document) throws InvalidDocumentException {
        return SchemaCheck.of(RelaySettings.class).read(Json.readYaml(document));
    }
}
