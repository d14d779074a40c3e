import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two gateways before a service with little traffic. A replica is added, and the store falls silent for 4.5 s right after.
 * Later than contactMs after its return, another replica leaves as planned.
 */
final class SilentStore {
    private static final String HOST = "127.0.0.1";
    private static final String HEADERS = "Host: app.example\r\nKey: key-of-tenant-a-0001\r\nDeadline-Ms: 4000\r\n";
    private static final int DRAIN_MS = 2_000;
    private static final int CONTACT_MS = 3_000;
    private static final int SILENCE_MS = 4_500;

    /** Time between two bookings of a gateway. */
    private static final int PERIOD_MS = 3_000;
    private static final int WORK_MS = 300;

    private static final Set<Socket> channels = ConcurrentHashMap.newKeySet();
    private static volatile boolean isLeaving;
    private static volatile long leftAt = Long.MAX_VALUE;

    public static void main(String[] arguments) throws Exception {
        boolean hasTrouble = !arguments[0].equals("0");
        Path folder = Files.createTempDirectory("review");
        List<Gateway> gateways = new ArrayList<>();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> gateways.forEach(Gateway::close)));
        int status = 2;
        try (Record record = new Record(Path.of("review/14/record.txt"))) {
            status = run(hasTrouble, folder, gateways, record);
        } catch (Exception exception) {
            exception.printStackTrace();
        }
        gateways.forEach(Gateway::close);
        System.exit(status);
    }

    private static int run(boolean hasTrouble, Path folder, List<Gateway> gateways, Record record) throws Exception {
        Store store = new Store(HOST);
        AtomicInteger late = new AtomicInteger();
        List<Replica> replicas = new ArrayList<>();
        for (int number = 1; number <= 8; number++) replicas.add(new Replica("i-" + number, "field-app", HOST, record));
        Replica leaver = replicas.get(0);
        for (Replica replica : replicas) {
            replica.behaviour = (self, request, socket, out) -> {
                channels.add(socket);
                boolean isLate = self == leaver && System.nanoTime() - leftAt > DRAIN_MS * 1_000_000L;
                if (isLate) {
                    late.incrementAndGet();
                    record.line(request.header("Attempt-Id") + " reaches " + self.id + " "
                        + (System.nanoTime() - leftAt) / 1_000_000 + " ms after the ack");
                }
                Thread.sleep(WORK_MS);
                self.reply(request, out, 200, self == leaver && isLeaving ? "Server-Leaving: 1\r\n" : "", "done");
            };
        }
        for (int number = 0; number < 7; number++) put(store, replicas.get(number), "ready");
        List<Object> routes = List.of(Replica.route("r-book", "app.example", "/book/", "unsafe", "field-app"));
        store.put("config", "main", Replica.manifest(1, routes, List.of(Replica.plainService("field-app")), 16_384));
        List<String> seeds = List.of(HOST + ":" + Gateway.freePort(HOST), HOST + ":" + Gateway.freePort(HOST));
        for (String seed : seeds) {
            String node = "front-bole-" + (gateways.size() + 1);
            gateways.add(new Gateway(folder, Gateway.settings(node, "bole", HOST, store.address(), seeds, seed)));
        }
        for (Gateway gateway : gateways) gateway.start();
        for (Gateway gateway : gateways) if (!gateway.awaitReady()) return 2;
        Thread.sleep(3_000);

        put(store, replicas.get(7), "ready");
        record.line("replica i-8 is added");
        Thread.sleep(150);
        if (hasTrouble) {
            store.isSilent = true;
            record.line("the store falls silent");
        }
        Thread.sleep(SILENCE_MS);
        if (hasTrouble) record.line("the store answers again");
        store.isSilent = false;

        // Bookings every three seconds; the replica leaves half a second after one was sent.
        Thread.sleep(CONTACT_MS + 500);
        List<Thread> callers = new ArrayList<>();
        AtomicInteger lost = new AtomicInteger();
        for (int number = 0; number < gateways.size(); number++) {
            int caller = number;
            callers.add(Listener.start(() -> call(caller, gateways.get(caller), lost, record)));
        }
        Thread.sleep(PERIOD_MS + 500);
        put(store, leaver, "draining");
        isLeaving = true;
        leftAt = System.nanoTime();
        record.line("the store has accepted that i-1 is draining");
        Thread.sleep(DRAIN_MS + 700);
        leaver.close();
        for (Socket socket : channels) if (socket.getLocalPort() == port(leaver)) socket.close();
        store.delete("servers", leaver.id);
        record.line("i-1 has left");
        for (Thread caller : callers) caller.join();
        String result = late + " requests reached i-1 later than drainMs after the ack, " + lost + " were not answered with 200";
        record.line(result);
        System.out.println(result);
        return late.get() > 0 ? 1 : 0;
    }

    private static void call(int caller, Gateway gateway, AtomicInteger lost, Record record) throws Exception {
        for (int number = 0; number < 4; number++) {
            String id = "booking-" + caller + "-" + number;
            try (Caller channel = new Caller(gateway.front())) {
                channel.send("POST /book/1", HEADERS + "Attempt-Id: " + id + "\r\n", "hall 7");
                Message answer = channel.answer(5_000);
                if (answer == null || answer.status() != 200) lost.incrementAndGet();
                record.line(id + " is answered " + (answer == null ? "by the channel's end" : answer.first));
            }
            Thread.sleep(PERIOD_MS - WORK_MS);
        }
    }

    private static void put(Store store, Replica replica, String state) {
        Map<String, Object> entry = replica.entry("bole", 1);
        entry.put("state", state);
        store.put("servers", replica.id, entry);
    }

    private static int port(Replica replica) throws IOException {
        return Integer.parseInt(replica.address().substring(replica.address().lastIndexOf(':') + 1));
    }
}
