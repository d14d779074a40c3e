import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** The project's program as a process of its own, with the command of the deploy file. */
final class Gateway implements AutoCloseable {
    private static final Set<Integer> TAKEN = ConcurrentHashMap.newKeySet();

    final String name;
    final int callers = freePort();
    private final int readiness = freePort();
    final int peers = freePort();
    private final Path folder;
    private Process process;

    /** Bounds of the site, in the settings. */
    long contactMs = 3_000;
    long versionMs = 6_000;

    Gateway(String name, Path folder) throws IOException {
        this.name = name;
        this.folder = folder;
    }

    /** Writes the settings that the deploy file's template gives for a small deployment. */
    void configure(String store, List<Gateway> seeds, boolean fencingEnforced, boolean bootstrap) throws IOException {
        List<String> addresses = new ArrayList<>();
        for (Gateway seed : seeds) addresses.add("\"127.0.0.1:" + seed.peers + "\"");
        String template = Files.readString(Path.of("deploy/gateway.json"));
        String settings = template
            .replace("{{node|json}}", "\"" + name + "\"").replace("{{zone|json}}", "\"z1\"")
            .replace("{{listen.front|json}}", "\"127.0.0.1:" + callers + "\"")
            .replace("{{listen.readyAddr|json}}", "\"127.0.0.1:" + readiness + "\"")
            .replace("{{listen.control|json}}", "\"127.0.0.1:" + peers + "\"")
            .replace("{{platform.address|json}}", "\"" + store + "\"")
            .replaceAll("\\[\\{\\{#seeds}}.*?\\{\\{/seeds}}]", String.join(",", addresses).isEmpty() ? "[]"
                : "[" + String.join(",", addresses) + "]")
            .replace("{{limits.cores|json}}", "1").replace("{{limits.cpuShare|json}}", "0.75")
            .replace("{{bootstrap|json}}", String.valueOf(bootstrap)).replace("{{bounds.graceS|json}}", "8")
            .replace("{{bounds.retryBudgetRatio|json}}", "0.2").replace("{{bounds.budgetWindowS|json}}", "10")
            .replace("{{bounds.budgetSlack|json}}", "56");
        settings = section(settings, "bounds.versionMs", String.valueOf(versionMs));
        settings = section(settings, "bounds.fencingEnforced", fencingEnforced ? "true" : null);
        settings = section(settings, "bounds.contactMs", String.valueOf(contactMs));
        settings = section(settings, "bounds.exposeShare", null);
        settings = section(settings, "bounds.exposeSlack", null);
        settings = section(settings, "bounds.rollbackMs", null);
        Files.writeString(folder.resolve(name + ".json"), settings);
    }

    private static String section(String text, String field, String value) {
        int from = text.indexOf("{{#" + field + "}}");
        if (from < 0) return text;
        String end = "{{/" + field + "}}";
        int to = text.indexOf(end);
        String inner = text.substring(from + field.length() + 5, to);
        return text.substring(0, from) + (value == null ? "" : inner.replace("{{.|json}}", value))
            + text.substring(to + end.length());
    }

    void start() throws IOException {
        String run = Files.readAllLines(Path.of("deploy/system.toml")).stream()
            .filter(line -> line.startsWith("run = ")).findFirst().orElseThrow();
        List<String> command = List.of(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" "));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        builder.environment().put("GUAVAPATH_SETTINGS", folder.resolve(name + ".json").toString());
        Process started = builder.start();
        process = started;
        Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
    }

    long pid() {
        return process.pid();
    }

    boolean isRunning() {
        return process.isAlive();
    }

    /** Sends SIGTERM, as the platform does, and SIGKILL once {@code graceS} is over. */
    void stop() throws InterruptedException {
        process.destroy();
        if (!process.waitFor(8, TimeUnit.SECONDS)) process.destroyForcibly().waitFor();
    }

    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    /** Whether it answers the platform's question with 200. */
    boolean isReady() {
        try (Socket channel = new Socket(InetAddress.getLoopbackAddress(), readiness)) {
            channel.setSoTimeout(1_000);
            channel.getOutputStream().write("GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n".getBytes());
            return Message.read(channel.getInputStream()).status() == 200;
        } catch (IOException notYet) {
            return false;
        }
    }

    boolean awaitReady(long milliseconds) throws InterruptedException {
        long end = System.currentTimeMillis() + milliseconds;
        while (System.currentTimeMillis() < end) {
            if (isReady()) return true;
            Thread.sleep(50);
        }
        return false;
    }

    @Override
    public void close() {
        if (process == null || !process.isAlive()) return;
        process.destroyForcibly();
        try {
            process.waitFor();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns a free port below those that systems give to outgoing channels, which might take it before a restart. */
    static int freePort() throws IOException {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(12_000, 32_000);
            try (ServerSocket socket = new ServerSocket()) {
                socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
                if (TAKEN.add(port)) return port;
            } catch (BindException inUse) {
                // Another one is tried.
            }
        }
    }
}
