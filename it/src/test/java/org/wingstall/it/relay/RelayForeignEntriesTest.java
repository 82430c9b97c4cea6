package org.wingstall.it.relay;

import static org.testng.Assert.assertEquals;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import org.awaitility.Awaitility;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wingstall.standin.fleet.FleetStandin;
import org.wingstall.standin.fleet.WorkerStandin;

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

    private static String boxEntry(String failureDomain, String capacity, String peerAddress) {
        return "{\"failureDomain\":%s,\"capacity\":%s,\"peerAddress\":%s}"
                .formatted(failureDomain, capacity, peerAddress);
    }

    @DataProvider
    public static Object[][] unusableBoxes() {
        return new Object[][] {
            {"no fields", "{}"},
            {"no document", "of another writer"},
            {"no address", boxEntry("\"east\"", "1", "\"\"")},
            {"no port", boxEntry("\"east\"", "1", "\"127.0.0.1\"")},
            {"a port that can't be", boxEntry("\"east\"", "1", "\"127.0.0.1:80800\"")},
            {"a host name", boxEntry("\"east\"", "1", "\"box.example:80\"")},
            {"no failure domain", boxEntry("\"\"", "1", "\"127.0.0.1:9\"")},
            {"no capacity", boxEntry("\"east\"", "0", "\"127.0.0.1:9\"")},
            {"a capacity of another type", boxEntry("\"east\"", "\"1\"", "\"127.0.0.1:9\"")},
        };
    }

    /** One entry without a valid address ended the polls of the directory for good. */
    @Test(dataProvider = "unusableBoxes")
    public void anUnusableEntryOfABoxHidesNoOther(String what, String entry) throws Exception {
        fleet.store().put("boxes", "a+b", entry);
        assertFindsOtherBox();
    }

    @Test
    public void anEndpointWhoseIdNoHeaderCanNameIsNotUsed() throws Exception {
        fleet.withAllServices();
        for (String id : List.of("a\nb", "a\u0000b", "a\u00e9", " a", "a b")) {
            fleet.add("plain", "east", id, new WorkerStandin(id, 0, 0));
        }
        box = new RelayBox(fleet, "starting").awaitReady();
        for (int i = 0; i < 12; i++) {
            assertEquals(box.post("once", "request-" + i).status(), 200);
        }
    }

    @Test
    public void aBoxBehindAPageOfForeignEntriesIsFound() throws Exception {
        fillPage("boxes", "a&b #c");
        assertFindsOtherBox();
    }

    private void assertFindsOtherBox() throws Exception {
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
