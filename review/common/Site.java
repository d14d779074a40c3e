package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A small deployment on loopback: a store, replicas and gateways, and what every script does with them. */
public final class Site {
    public static final String MODEL = "model-1";
    public final Record record = new Record();
    public final Store store;
    public final boolean isTrouble;
    private final Path root;
    private final Path folder;
    private final Path work;
    private final List<Replica> replicas = new ArrayList<>();
    private final List<Gateway> gateways = new ArrayList<>();

    public Site(String folder, boolean isTrouble) throws IOException {
        this.isTrouble = isTrouble;
        this.folder = Path.of(folder).toAbsolutePath();
        root = this.folder.getParent().getParent();
        work = Files.createTempDirectory("review");
        store = new Store();
    }

    public Replica replica(String service, boolean isEngine, Replica.Work runs) throws IOException {
        List<Object> models = isEngine
            ? List.of(Json.object("name", MODEL, "version", 1, "adapters", List.of())) : List.of();
        Replica replica = new Replica("i-" + (replicas.size() + 1), service, models, record, runs);
        replicas.add(replica);
        store.put("servers", replica.id, replica.entry());
        return replica;
    }

    public Gateway gateway() throws IOException {
        List<String> seeds = new ArrayList<>();
        for (Gateway other : gateways) seeds.add("127.0.0.1:" + other.peers);
        Gateway gateway = new Gateway(root, work, "front-" + (gateways.size() + 1), store.address(), seeds);
        gateways.add(gateway);
        return gateway;
    }

    public static Map<String, Object> route(String name, String path, String kind, String service, int timeoutMs) {
        return Json.object("name", name, "host", "site.example", "pathPrefix", path, "kind", kind,
            "timeoutMs", timeoutMs, "targetLatencyMs", 800, "priority", 1, "service", service, "maxAttempts", 1,
            "public", false, "sticky", kind.equals("streaming"), "resumable", false, "gapTargetMs", 400);
    }

    public static Map<String, Object> tenant(String name, boolean isIsolated) {
        return Json.object("name", name, "apiKeys", List.of("key-of-" + name), "priority", 1, "unit", "tokens",
            "plainTokens", 200, "isolated", isIsolated, "ratePerS", 0, "burst", 0);
    }

    /** Writes a manifest as the operator does; the store's answer is the ack. */
    public void configure(int version, List<Object> routes, List<Object> tenants) {
        Map<String, Object> engine = Json.object("slots", 32, "kvCapacityTokens", 227_813, "kvTokenBytes", 327_680,
            "linkMbps", 1_500_000.0, "moves", true, "backups", true, "stride", 7, "maxInFlight", 12,
            "pinMs", 4000.0, "holdMs", 2000.0, "handle_s", 5.0, "models", List.of(Json.object("name", MODEL)));
        store.put("config", "main", Json.object("version", version, "routes", routes,
            "services", List.of(
                Json.object("name", "engines", "healthPath", "/health", "maxConnections", 240, "protocol", "h1",
                    "tls", false, "engine", engine),
                Json.object("name", "plain", "healthPath", "/health", "maxConnections", 110, "protocol", "h1",
                    "tls", false)),
            "limits", Json.object("maxHeaderBytes", 16_384, "maxBodyBytes", 4_194_304, "headerTimeoutMs", 3000,
                "idleTimeoutMs", 15_000),
            "tenants", tenants));
        record.add("operator: manifest " + version + " acknowledged " + Json.write(tenants));
    }

    /** Ends the script: a part did not start, or the disruption did not take effect. */
    public void notRun(String reason) {
        end(Launch.NOT_RUN, "not run: " + reason);
    }

    /** Ends the script with what the check of the record says. */
    public void judged(boolean isBroken, String result) {
        end(isBroken ? Launch.BROKEN : Launch.HELD, result);
    }

    private void end(int status, String result) {
        record.add("result: " + result);
        for (Gateway gateway : gateways) gateway.process.destroyForcibly();
        for (Gateway gateway : gateways) keepLog(gateway);
        boolean areGone = gateways.stream().noneMatch(gateway -> gateway.process.isAlive());
        record.add(areGone ? "all " + gateways.size() + " processes that were started have ended" : "a process is left");
        record.write(folder.resolve("record.txt"));
        System.out.println(result);
        System.out.flush();
        Runtime.getRuntime().halt(status);
    }

    /** Adds to the record what the process said of errors, and deletes its files. */
    private void keepLog(Gateway gateway) {
        try {
            gateway.process.waitFor();
            int exhausted = 0;
            for (String line : Files.readAllLines(gateway.log().toPath())) {
                if (line.contains("OutOfMemoryError")) exhausted++;
                if (line.contains("\"stopping\"") || line.contains("\"stopped\"")) {
                    record.add(gateway.name + " logged: " + line.substring(0, Math.min(200, line.length())));
                }
            }
            if (exhausted > 0) record.add(gateway.name + " logged OutOfMemoryError in " + exhausted + " lines");
            Files.deleteIfExists(gateway.log().toPath());
            Files.deleteIfExists(work.resolve(gateway.name + ".json"));
            Files.deleteIfExists(work);
        } catch (IOException | InterruptedException ignored) {
            record.add(gateway.name + ": its log could not be read");
        }
    }
}
