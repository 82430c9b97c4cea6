import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;

/** Plays one case and exits with 1 if its rule was broken, 0 if it held, and 2 if the case could not run. */
public final class Case {
    private Case() {}

    /** The order of events of a case. */
    interface Plan {
        void play(Fleet fleet, Record record, boolean trouble) throws IOException, InterruptedException;
    }

    /**
     * Plays the case.
     *
     * @param args the name of the case, and the folder for record.txt; the variable TROUBLE=0 leaves the disruption out
     */
    public static void main(String[] args) throws Exception {
        Plan plan =
                switch (args[0]) {
                    case "stale-work" -> new StaleWork();
                    case "surplus-refusal" -> new SurplusRefusal();
                    case "surplus-answer" -> new SurplusAnswer();
                    default -> throw new IllegalArgumentException(args[0]);
                };
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        Path files = Files.createTempDirectory("wingstall-review");
        try (Record record = new Record(Path.of(args[1]))) {
            record.note("case " + args[0] + (trouble ? "" : ", without the disruption"));
            try (Fleet fleet = new Fleet(files, record)) {
                // A case that is ended from outside leaves no processes behind.
                Runtime.getRuntime().addShutdownHook(new Thread(fleet::endProcesses));
                fleet.start();
                plan.play(fleet, record, trouble);
                code = record.broken() == 0 ? 0 : 1;
                record.note(code == 0 ? "the rule held" : "the rule was broken " + record.broken() + " times");
            } catch (IOException | IllegalStateException e) {
                record.note("the case could not run: " + e);
            }
        }
        try (var all = Files.walk(files)) {
            all.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
        System.exit(code);
    }
}
