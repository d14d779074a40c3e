package review;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** One process of the deploy file's role, with the settings that its template gives for the site atf-rs. */
public final class Gateway {
    public final String name;
    public final int callers = freePort();
    private final int readiness = freePort();
    public final int peers = freePort();
    private final Path log;
    public final Process process;

    public Gateway(Path root, Path folder, String name, String store, List<String> seeds) throws IOException {
        this.name = name;
        log = folder.resolve(name + ".log");
        Map<String, Object> settings = Json.object("vm", name, "failureDomain", "zone-1",
            "callers", "127.0.0.1:" + callers, "readiness", "127.0.0.1:" + readiness, "peers", "127.0.0.1:" + peers,
            "store", store, "peerSeeds", new ArrayList<Object>(seeds),
            "peerSecrets", List.of("shared by the gateways of one site"), "processors", 1, "processorShare", 0.75,
            "isFirstStart", true, "drainMilliseconds", 8000, "repeatRatio", 0.2, "repeatWindowSeconds", 10,
            "repeatSlack", 56, "replacedWeightsMilliseconds", 6000, "areOrdersFenced", true,
            "startupGraceMilliseconds", 3000);
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, Json.write(settings));
        ProcessBuilder builder = new ProcessBuilder(command(root)).directory(root.toFile());
        builder.environment().put("GUAVAPATH_SETTINGS", file.toString());
        builder.redirectErrorStream(true).redirectOutput(log.toFile());
        process = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    }

    /** The run line of the deploy file, split at spaces. */
    private static List<String> command(Path root) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy").resolve("system.toml"))) {
            if (line.startsWith("run = ")) return Arrays.asList(line.substring(7, line.length() - 1).split(" "));
        }
        throw new IOException("the deploy file has no run line");
    }

    /** Waits until GET /ready is answered 200; returns whether it was. */
    public boolean awaitReady(long timeoutMs) throws InterruptedException {
        long until = System.currentTimeMillis() + timeoutMs;
        while (System.currentTimeMillis() < until && process.isAlive()) {
            if (ready() == 200) return true;
            Thread.sleep(100);
        }
        return false;
    }

    /** The status of GET /ready, 0 if there is no answer within a second. */
    public int ready() {
        try (Socket socket = new Socket("127.0.0.1", readiness)) {
            socket.setSoTimeout(1000);
            socket.getOutputStream().write("GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n".getBytes());
            Http head = Http.readHead(socket.getInputStream());
            return head == null ? 0 : head.status();
        } catch (IOException failed) {
            return 0;
        }
    }

    /** Sends SIGTERM. */
    public void terminate() {
        process.destroy();
    }

    /** Ends the process at once. */
    public void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor(5, TimeUnit.SECONDS);
    }

    public File log() {
        return log.toFile();
    }

    /** A free port below those that the system gives to outgoing channels, so that none of these takes it meanwhile. */
    private static int freePort() {
        for (int i = 0; i < 200; i++) {
            int port = ThreadLocalRandom.current().nextInt(20_000, 32_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return socket.getLocalPort();
            } catch (IOException taken) {
                continue;
            }
        }
        throw new IllegalStateException("no free port");
    }
}
