import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One process of the deploy file, started with its run line and settings from its template. */
final class Gateway implements AutoCloseable {
    final String name;
    final Map<String, Object> settings;
    private final Path folder;
    private Process process;

    Gateway(Path folder, Map<String, Object> settings) {
        this.folder = folder;
        this.settings = settings;
        name = (String) settings.get("node");
    }

    /** Returns the settings of VM [node] in [zone]. */
    static Map<String, Object> settings(String node, String zone, String host, String store, List<String> seeds, String control) {
        Object bounds = Json.of(
            "seedLagS", 3, "reuseAfterS", 2, "contactMs", 3000, "ackMs", 4000, "catchUpS", 4, "drainMs", 2000,
            "graceS", 8, "lossSlackMs", 200, "configApplyMs", 2000, "downgradeSlackMs", 250, "outerMs", 5000,
            "revokeFailClosed", false, "revokeMs", 5000, "retryBudgetRatio", 0.2, "budgetWindowS", 10,
            "budgetSlack", 56, "quotaWindowS", 8, "quotaOver", 0.1, "quotaSlack", 140000, "recoverS", 12,
            "transitMs", 120, "reuseWindowS", 10, "fencingEnforced", true, "leaseMs", 3000, "thawSlackMs", 300,
            "versionMs", 6000, "versionAllMs", 8400);
        return Json.of(
            "node", node, "zone", zone, "region", "addis", "ip", host, "seeds", seeds, "bootstrap", true,
            "listen", Json.of("front", host + ":" + freePort(host), "readyAddr", host + ":" + freePort(host), "control", control),
            "limits", Json.of("cpuShare", 0.75, "cores", 1, "memoryMb", 280, "maxFds", 4100, "linkMbps", 1000.0),
            "bounds", bounds,
            "platform", Json.of("address", store, "form", "objects", "writesPerS", 400, "readsPerS", 2000));
    }

    /** Returns a free port below those that outgoing channels take. */
    static int freePort(String host) {
        while (true) {
            int port = 12_000 + (int) (Math.random() * 18_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(host))) {
                return socket.getLocalPort();
            } catch (IOException exception) {
                // The port is taken.
            }
        }
    }

    String front() {
        return (String) Json.object(settings.get("listen")).get("front");
    }

    String ready() {
        return (String) Json.object(settings.get("listen")).get("readyAddr");
    }

    /** Starts the process. */
    void start() throws IOException {
        String deploy = Files.readString(Path.of("deploy/system.toml"));
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, render(Files.readString(Path.of(quoted(deploy, "template"))), settings));
        ProcessBuilder builder = new ProcessBuilder(quoted(deploy, "run").split(" "));
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("GUAVAPATH_SETTINGS", file.toString());
        File log = folder.resolve(name + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        process = builder.start();
        settings.put("bootstrap", false);
    }

    /** Waits until the process is ready; returns false if it is not after ten seconds. */
    boolean awaitReady() throws InterruptedException {
        for (int i = 0; i < 100; i++) {
            if (isReady()) return true;
            Thread.sleep(100);
        }
        return false;
    }

    boolean isReady() {
        try (Socket socket = Caller.connect(ready())) {
            socket.setSoTimeout(1000);
            socket.getOutputStream().write("GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n".getBytes());
            Message answer = Message.read(socket.getInputStream());
            return answer != null && answer.status() == 200;
        } catch (IOException exception) {
            return false;
        }
    }

    boolean isRunning() {
        return process != null && process.isAlive();
    }

    long pid() {
        return process.pid();
    }

    int exitCode() {
        return process.exitValue();
    }

    /** Sends a signal, such as STOP, to the process. */
    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).inheritIO().start().waitFor();
    }

    boolean awaitEnd(int seconds) throws InterruptedException {
        return process.waitFor(seconds, TimeUnit.SECONDS);
    }

    @Override
    public void close() {
        if (process == null) return;
        process.destroyForcibly();
        try {
            process.waitFor();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private static String quoted(String text, String key) {
        Matcher matcher = Pattern.compile("(?m)^" + key + " = \"(.*)\"$").matcher(text);
        if (!matcher.find()) throw new IllegalStateException("no " + key + " in the deploy file");
        return matcher.group(1);
    }

    /** Fills in a template as the platform does. */
    private static String render(String template, Object scope) {
        Matcher section = Pattern.compile("(?s)\\{\\{([#^])([^}]+)\\}\\}(.*?)\\{\\{/\\2\\}\\}").matcher(template);
        StringBuilder out = new StringBuilder();
        int from = 0;
        while (section.find()) {
            out.append(values(template.substring(from, section.start()), scope));
            Object value = find(section.group(2), scope);
            boolean isAbsent = value == null || value.equals(false);
            String inner = section.group(3);
            if (section.group(1).equals("^")) {
                if (isAbsent) out.append(values(inner, scope));
            } else if (value instanceof List<?> list) {
                List<String> parts = new ArrayList<>();
                for (int i = 0; i < list.size(); i++) {
                    parts.add(values(inner.replace("{{,}}", i + 1 < list.size() ? "," : ""), list.get(i)));
                }
                out.append(String.join("", parts));
            } else if (!isAbsent) {
                out.append(values(inner, value.equals(true) ? scope : value));
            }
            from = section.end();
        }
        return out.append(values(template.substring(from), scope)).toString();
    }

    private static String values(String text, Object scope) {
        Matcher matcher = Pattern.compile("\\{\\{([^}|]+)(\\|json)?\\}\\}").matcher(text);
        StringBuilder out = new StringBuilder();
        while (matcher.find()) {
            Object value = find(matcher.group(1), scope);
            String shown = matcher.group(2) != null ? Json.write(value) : value == null ? "" : value.toString();
            matcher.appendReplacement(out, Matcher.quoteReplacement(shown));
        }
        return matcher.appendTail(out).toString();
    }

    private static Object find(String path, Object scope) {
        if (path.equals(".")) return scope;
        Object value = scope;
        for (String name : path.split("\\.")) value = value instanceof Map<?, ?> map ? map.get(name) : null;
        return value;
    }
}
