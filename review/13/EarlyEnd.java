import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two gateways before three replicas whose answers have no length and end with their channel. One of the replicas answers
 * some requests before it has read them whole, breaks off within the answer and closes its channel.
 */
final class EarlyEnd {
    private static final String HOST = "127.0.0.1";
    private static final String HEADERS = "Host: app.example\r\nKey: key-of-tenant-a-0001\r\nDeadline-Ms: 4000\r\n";
    private static final String BODY = "b".repeat(12_000);
    private static final int SPOILED_ONE_IN = 50;

    private static volatile boolean isTroubled;

    /** A replica that reads the whole request and sends an answer without a length, unless it breaks off. */
    private static final class Unframed extends Replica {
        private final boolean mayBreakOff;
        private final AtomicInteger requests = new AtomicInteger();

        Unframed(String id, boolean mayBreakOff, Record record) throws IOException {
            super(id, "field-app", HOST, record);
            this.mayBreakOff = mayBreakOff;
        }

        @Override
        void serve(Socket socket, InputStream in, OutputStream out) throws Exception {
            Message request = Message.readHead(in);
            if (request == null) return;
            String attempt = request.header("Attempt-Id");
            if (!id.equals(request.header("Expect-Instance"))) {
                request.readBody(in);
                reply(request, out, 421, "Instance-Id: " + id + "\r\nNot-Executed: 1\r\n", "");
                return;
            }
            boolean breaksOff = mayBreakOff && isTroubled && requests.incrementAndGet() % SPOILED_ONE_IN == 0;
            if (!breaksOff) request.readBody(in);
            String body = answerTo(attempt);
            String head = "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nServer-Stamp: stamp." + attempt
                + "\r\nConnection: close\r\n\r\n";
            Thread.sleep(20);
            String sent = breaksOff ? body.substring(0, body.length() / 2) : body;
            record.line("replica " + id + " runs " + attempt + " and sends " + sent.length() + " of " + body.length()
                + " bytes" + (breaksOff ? ", then closes its channel with bytes of the request unread" : ""));
            out.write((head + sent).getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }
    }

    private static String answerTo(String attempt) {
        return "booking " + attempt + ": " + "confirmed ".repeat(80);
    }

    public static void main(String[] arguments) throws Exception {
        boolean hasTrouble = !arguments[0].equals("0");
        Path folder = Files.createTempDirectory("review");
        List<Gateway> gateways = new ArrayList<>();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> gateways.forEach(Gateway::close)));
        int status = 2;
        try (Record record = new Record(Path.of("review/13/record.txt"))) {
            status = run(hasTrouble, folder, gateways, record);
        } catch (Exception exception) {
            exception.printStackTrace();
        }
        gateways.forEach(Gateway::close);
        System.exit(status);
    }

    private static int run(boolean hasTrouble, Path folder, List<Gateway> gateways, Record record) throws Exception {
        Store store = new Store(HOST);
        for (int number = 1; number <= 3; number++) {
            Replica replica = new Unframed("i-" + number, number == 1, record);
            store.put("servers", replica.id, replica.entry("bole", 1));
        }
        List<Object> routes = List.of(Replica.route("r-book", "app.example", "/book/", "unsafe", "field-app"));
        store.put("config", "main", Replica.manifest(1, routes, List.of(Replica.plainService("field-app")), 16_384));
        List<String> seeds = List.of(HOST + ":" + Gateway.freePort(HOST), HOST + ":" + Gateway.freePort(HOST));
        for (String seed : seeds) {
            String node = "front-bole-" + (gateways.size() + 1);
            gateways.add(new Gateway(folder, Gateway.settings(node, "bole", HOST, store.address(), seeds, seed)));
        }
        for (Gateway gateway : gateways) gateway.start();
        for (Gateway gateway : gateways) if (!gateway.awaitReady()) return 2;

        AtomicInteger whole = new AtomicInteger();
        AtomicInteger parts = new AtomicInteger();
        AtomicInteger others = new AtomicInteger();
        long start = System.nanoTime();
        List<Thread> callers = new ArrayList<>();
        for (int number = 0; number < 6; number++) {
            int caller = number;
            callers.add(Listener.start(() -> {
                for (int count = 0; System.nanoTime() - start < 10_000_000_000L; count++) {
                    String id = "b" + caller + "-" + count;
                    try (Caller channel = new Caller(gateways.get(caller % gateways.size()).front())) {
                        channel.send("POST /book/1", HEADERS + "Attempt-Id: " + id + "\r\n", BODY);
                        Message answer = channel.answer(5_000);
                        boolean isSuccess = answer != null && answer.status() == 200 && answer.isWhole;
                        String text = isSuccess ? answer.text() : "";
                        if (isSuccess && text.equals(answerTo(id))) {
                            whole.incrementAndGet();
                        } else if (isSuccess) {
                            parts.incrementAndGet();
                            record.line("the requester of " + id + " gets " + answer.first + ", Content-Length "
                                + answer.header("Content-Length") + ", with " + text.length() + " bytes of "
                                + answerTo(id).length() + ", as a whole answer");
                        } else {
                            others.incrementAndGet();
                            record.line("the requester of " + id + " gets " + (answer == null ? "no answer" : answer.first));
                        }
                    }
                    Thread.sleep(20);
                }
            }));
        }
        Thread.sleep(2_000);
        isTroubled = hasTrouble;
        Thread.sleep(5_500);
        isTroubled = false;
        for (Thread caller : callers) caller.join();
        String result = whole + " whole answers, " + parts + " parts that pass for whole, " + others + " others";
        record.line(result);
        System.out.println(result);
        if (whole.get() == 0) return 2;
        return parts.get() > 0 ? 1 : 0;
    }
}
