import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** An entry box: wingstall-relay as a process, started by the command of the deploy file, with the settings of its template. */
final class Box implements AutoCloseable {
    final String id;
    private final String zone;
    private final Path folder;
    private final String storeAddress;
    private final int front = port();
    private final int readiness = port();
    private final int operator = port();
    private final int peer = port();
    private final Record record;
    private Process process;

    Box(String id, String zone, Path folder, String storeAddress, Record record) throws IOException {
        this.id = id;
        this.zone = zone;
        this.folder = folder;
        this.storeAddress = storeAddress;
        this.record = record;
    }

    private static int port() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** Starts the process; the bounds are those of the small deployments' pages. */
    void start() throws IOException {
        Path settings = folder.resolve(id + ".yaml");
        Files.writeString(
                settings,
                String.join(
                        "\n",
                        "boxId: " + id,
                        "failureDomain: " + zone,
                        "callerAddress: 127.0.0.1:" + front,
                        "readinessAddress: 127.0.0.1:" + readiness,
                        "operatorAddress: 127.0.0.1:" + operator,
                        "peerAddress: 127.0.0.1:" + peer,
                        "storeAddress: " + storeAddress,
                        "retryBudgetRatio: 0.2",
                        "retryBudgetExtra: 52",
                        "stopGraceSeconds: 8",
                        "processors: 1",
                        "processorShare: 0.75",
                        "leavingWithinMs: 2000",
                        "regions: hall-a=austin,hall-b=austin,hall-c=austin",
                        "configWithinMs: 2000",
                        ""));
        List<String> command = new ArrayList<>(List.of(
                "java",
                "-Xmx160m",
                "-Xss256k",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-XX:CompileThresholdScaling=0.5",
                "-XX:-UsePerfData",
                "-Dio.netty.jfr.enabled=false",
                "-XX:SharedArchiveFile=target/wingstall.jsa",
                "-Xshare:auto",
                "-jar",
                "target/wingstall-relay.jar"));
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(id + ".log").toFile()));
        builder.environment().put("WINGSTALL_CONFIG", settings.toString());
        process = builder.start();
        record.say("box %s starts", id);
    }

    boolean awaitReady(long forMs) throws InterruptedException {
        long untilNs = System.nanoTime() + forMs * 1_000_000;
        while (System.nanoTime() < untilNs) {
            if (ready()) {
                return true;
            }
            Thread.sleep(50);
        }
        return false;
    }

    /** Asks as the platform does, with a second for the answer. */
    boolean ready() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", readiness), 1000);
            socket.setSoTimeout(1000);
            socket.getOutputStream().write("GET /v1/readyz HTTP/1.1\r\nHost: platform\r\n\r\n".getBytes());
            Http.Message head = Http.readHead(socket.getInputStream());
            return head != null && head.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    int front() {
        return front;
    }

    InetSocketAddress address() {
        return new InetSocketAddress("127.0.0.1", front);
    }

    Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress("127.0.0.1", front), 1000);
        return socket;
    }

    String metrics() throws IOException {
        try (Socket socket = new Socket("127.0.0.1", operator)) {
            socket.setSoTimeout(2000);
            socket.getOutputStream().write("GET /metrics HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n".getBytes());
            Http.Message head = Http.readHead(socket.getInputStream());
            return new String(Http.readBody(socket.getInputStream(), head, true));
        }
    }

    boolean alive() {
        return process != null && process.isAlive();
    }

    long pid() {
        return process.pid();
    }

    /** Sends the process a signal. */
    void signal(String name) throws IOException, InterruptedException {
        record.say("box %s gets SIG%s", id, name);
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).inheritIO().start().waitFor();
    }

    boolean awaitEnd(long forMs) throws InterruptedException {
        return process.waitFor(forMs, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
            try {
                process.waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
