package org.wingstall.it.relay;

import static org.testng.Assert.assertEquals;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.time.Duration;
import org.awaitility.Awaitility;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.standin.fleet.FleetStandin;

/** Boxes that started while a row with a reserved character in its key ended a page of the store served nobody. */
public class RelayForeignEntriesTest {
    /** Rows of a page of the store. */
    private static final int PAGE_ROWS = 500;

    /** Time within which service has to be back after a restart, in ms; the platform's own figure. */
    private static final long RECOVERY_MS = 12_000;

    private FleetStandin fleet;
    private RelayBox box;

    @BeforeMethod
    public void start() throws Exception {
        fleet = new FleetStandin();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        if (box != null) {
            box.close();
        }
        fleet.close();
    }

    /** Keys as they stand in a query, so that the names of tests hold no control bytes. */
    @DataProvider
    public static Object[][] keys() {
        return new Object[][] {
            {"a%26b"},
            {"a%26limit%3D1"},
            {"a%2Bb"},
            {"a%23b"},
            {"a%25b"},
            {"a%2541"},
            {"a%25"},
            {"a%20b"},
            {"a%20"},
            {"a%0Ab"},
            {"a%0D%0Ab"},
            {"a%3Db"},
            {"a%2Fb%3Fc"},
            {"a%00"},
            {"a%C3%A9"},
            {"a%F0%9F%98%80"},
            {"a" + "%26".repeat(199)},
        };
    }

    private void fillPage(String table, String lastKey) {
        for (int i = 1; i < PAGE_ROWS; i++) {
            fleet.store().put(table, "0-%03d".formatted(i), "of another writer");
        }
        fleet.store().put(table, lastKey, "of another writer");
    }

    private void assertServes() throws Exception {
        Awaitility.await().atMost(Duration.ofMillis(RECOVERY_MS)).until(() -> box.readiness() == 200);
        assertEquals(box.post("once", "first").status(), 200);
        assertEquals(box.post("staged", "second").status(), 200);
        assertEquals(fleet.store().badRequests(), 0);
    }

    @Test(dataProvider = "keys")
    public void endpointsBehindAForeignEntryAreUsed(String key) throws Exception {
        fillPage("servers", QueryStringDecoder.decodeComponent(key));
        fleet.withAllServices();
        box = new RelayBox(fleet, "starting");
        assertServes();
    }

    @DataProvider
    public static Object[][] tables() {
        return new Object[][] {{"op"}, {"boxes"}, {"crashes"}};
    }

    @Test(dataProvider = "tables")
    public void rowsBehindForeignEntriesOfOtherTablesAreRead(String table) throws Exception {
        fillPage(table, "a&b #c");
        fleet.withAllServices();
        box = new RelayBox(fleet, "starting");
        assertServes();
    }

    @Test
    public void aBoxBehindAPageOfForeignEntriesIsFound() throws Exception {
        fillPage("boxes", "a&b #c");
        fleet.withAllServices();
        try (RelayBox other = new RelayBox(fleet, "other")) {
            other.awaitReady();
            box = new RelayBox(fleet, "starting");
            Awaitility.await().atMost(Duration.ofMillis(RECOVERY_MS)).until(() -> box.metrics()
                    .lines()
                    .anyMatch(line -> line.startsWith("wingstall_peers_heard ") && line.endsWith(" 1.0")));
        }
    }
}
