package org.wingstall.it.harness;

/** The fleet that most tests run on: three failure domains with a gateway each. */
public final class Fleets {
    private Fleets() {}

    public static TestFleet three(String name, String... settings) {
        return new TestFleet(name)
                .endpoints("pool", "far", "constanta-a", 2, "--run-ms", "4", "--slots", "32")
                .endpoints("engine", "briza", "constanta-a", 1, "--run-ms", "3", "--slots", "32", "--slow-down", "0.01")
                .endpoints("engine", "briza", "constanta-b", 1, "--run-ms", "3", "--slots", "32", "--slow-down", "0.01")
                .endpoints("plain", "ledger", "mangalia", 2, "--run-ms", "10", "--slots", "32")
                .gateway("box-a", "constanta-a", settings)
                .gateway("box-b", "constanta-b", settings)
                .gateway("box-c", "mangalia", settings)
                .begin(Rows.ROWS);
    }
}
