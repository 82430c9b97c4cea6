import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * One machine of the system: the program of the deploy file as a process of its own, with settings made from the
 * project's template. The figures are those of the small sites.
 */
final class Box implements AutoCloseable {
    private static final Path ROOT = Path.of("").toAbsolutePath();

    final String name;
    final String front;
    final String readiness;
    private final Map<String, Object> fields = new LinkedHashMap<>();
    private final Path folder;
    private final Record record;
    private Process process;
    private int starts;

    Box(String name, String zone, String ip, String storeAddress, Path folder, Record record) throws IOException {
        this.name = name;
        this.folder = folder;
        this.record = record;
        this.front = ip + ":" + Http.freePort(ip);
        this.readiness = ip + ":" + Http.freePort(ip);
        fields.put("node_name", name);
        fields.put("ip", ip);
        fields.put("zone", zone);
        fields.put("region", "jm-south");
        fields.put("internal_ports", List.of(Http.freePort(ip), Http.freePort(ip)));
        fields.put("zones", new LinkedHashMap<>(Map.of("kgn-a", "jm-south", "kgn-b", "jm-south")));
        fields.put("listen", Map.of("front", front, "readiness", readiness));
        fields.put("limits", Map.of("cpu_share", "0.75", "cores", "1"));
        fields.put("platform", Map.of("address", storeAddress));
        fields.put(
                "bounds",
                Map.of(
                        "retry_budget_ratio", "0.2",
                        "retry_budget_extra", "58",
                        "grace_s", "8",
                        "drain_ms", "2000"));
    }

    /** Starts the process; the first start is that of the whole system. */
    void start() throws IOException {
        fields.put("bootstrap", starts == 0);
        starts++;
        Path settings = folder.resolve(name + ".yaml");
        Files.writeString(settings, Template.fill(Files.readString(ROOT.resolve("deploy/relay.yaml.template")), fields));
        String run = Files.readAllLines(ROOT.resolve("deploy/system.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        String command = Template.fill(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')), fields);
        ProcessBuilder builder = new ProcessBuilder(new ArrayList<>(List.of(command.split(" "))));
        builder.directory(ROOT.toFile());
        Map<String, String> inherited = new LinkedHashMap<>(builder.environment());
        builder.environment().clear();
        for (String kept : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
            if (inherited.containsKey(kept)) {
                builder.environment().put(kept, inherited.get(kept));
            }
        }
        builder.environment().put("WINGSTALL_CONFIG", settings.toString());
        File log = folder.resolve(name + "." + starts + ".log").toFile();
        process = builder.redirectErrorStream(true).redirectOutput(log).start();
        record.note(name + " started, process " + process.pid());
    }

    boolean ready() {
        try {
            return Http.call(readiness, "GET", "/v1/readyz", List.of("Host: x"), new byte[0], 500).status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    void awaitReady(long withinMs) throws InterruptedException {
        long until = System.nanoTime() + withinMs * 1_000_000;
        while (!ready()) {
            if (System.nanoTime() > until) {
                throw new IllegalStateException(name + " is not ready");
            }
            Thread.sleep(20);
        }
    }

    /** SIGKILL. */
    void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor();
        record.note(name + " killed");
    }

    /** SIGTERM. */
    void term() {
        process.destroy();
        record.note(name + " told to stop");
    }

    boolean alive() {
        return process.isAlive();
    }

    /** Sends a signal by name, such as STOP or CONT. */
    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
        record.note(name + " got SIG" + signal);
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
