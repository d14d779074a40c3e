import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A server on a free port of the loopback address; each channel has a thread. */
abstract class Listener implements AutoCloseable {
    private final ServerSocket server = new ServerSocket();
    private final Set<Socket> channels = ConcurrentHashMap.newKeySet();

    Listener() throws IOException {
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 512);
    }

    final void begin() {
        thread(() -> {
            while (true) {
                Socket channel = server.accept();
                channel.setTcpNoDelay(true);
                channels.add(channel);
                thread(() -> {
                    try (channel) {
                        serve(channel);
                    } finally {
                        channels.remove(channel);
                    }
                });
            }
        });
    }

    abstract void serve(Socket channel) throws Exception;

    final int port() {
        return server.getLocalPort();
    }

    final String address() {
        return "127.0.0.1:" + port();
    }

    /** Ends as a process does: the port closes, and all channels with it. */
    @Override
    public void close() throws IOException {
        server.close();
        for (Socket channel : channels) channel.close();
    }

    interface Work {
        void run() throws Exception;
    }

    static void thread(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (Exception ended) {
                // The channel or the listener was closed.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }
}
