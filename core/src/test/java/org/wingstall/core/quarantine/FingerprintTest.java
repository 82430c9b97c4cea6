package org.wingstall.core.quarantine;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against fingerprints of parts that differ from those of earlier builds: boxes and stored rows compare them. */
public class FingerprintTest {
    private static final int HEX_DIGITS = 32;

    @DataProvider
    Object[][] parts() {
        return new Object[][] {
            {"llm", "m", "5c1e07a2", true},
            {"llm", "", "a-Z_0.9", true},
            {"llm", "m", "a b", false},
            {"llm", "m", "a/b", false},
            {"llm", "m", "ä", false},
            {"llm", "m", "x".repeat(114), true},
            {"llm", "m", "x".repeat(115), false},
        };
    }

    @Test(dataProvider = "parts")
    public void readablePartsKeepTheirTextAndOthersAreHashed(
            String service, String model, String part, boolean readable) {
        String hex = Fingerprint.ofPart(service, model, part).hex();
        if (readable) {
            assertEquals(hex, "part:" + service + ":" + model + ":" + part);
        } else {
            assertEquals(hex.length(), "part:".length() + HEX_DIGITS);
        }
    }
}
