package org.wingstall.it.harness;

/** The fleets that tests run on. */
public final class Fleets {
    private Fleets() {}

    public static TestFleet three(String name, String... settings) {
        return endpoints(name)
                .gateway("box-a", "constanta-a", settings)
                .gateway("box-b", "constanta-b", settings)
                .gateway("box-c", "mangalia", settings)
                .begin(Rows.ROWS);
    }

    /** Starts three failure domains with two gateways each. */
    public static TestFleet six(String name, String... settings) {
        return endpoints(name)
                .gateway("box-a1", "constanta-a", settings)
                .gateway("box-a2", "constanta-a", settings)
                .gateway("box-b1", "constanta-b", settings)
                .gateway("box-b2", "constanta-b", settings)
                .gateway("box-c1", "mangalia", settings)
                .gateway("box-c2", "mangalia", settings)
                .begin(Rows.ROWS);
    }

    /** Starts four gateways in one failure domain. */
    public static TestFleet fourInOneDomain(String name, String... settings) {
        return endpoints(name)
                .gateway("box-1", "constanta-a", settings)
                .gateway("box-2", "constanta-a", settings)
                .gateway("box-3", "constanta-a", settings)
                .gateway("box-4", "constanta-a", settings)
                .begin(Rows.ROWS);
    }

    private static TestFleet endpoints(String name) {
        return new TestFleet(name)
                .endpoints("pool", "far", "constanta-a", 2, "--run-ms", "4", "--slots", "32")
                .endpoints("engine", "briza", "constanta-a", 1, "--run-ms", "3", "--slots", "32", "--slow-down", "0.01")
                .endpoints("engine", "briza", "constanta-b", 1, "--run-ms", "3", "--slots", "32", "--slow-down", "0.01")
                .endpoints("plain", "ledger", "mangalia", 2, "--run-ms", "10", "--slots", "32");
    }
}
