import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A server on loopback with a thread for each channel. */
class Listener implements AutoCloseable {
    /** Serves one channel until it ends. */
    interface Handler {
        void serve(Socket socket, InputStream in, OutputStream out) throws Exception;
    }

    private final ServerSocket server = new ServerSocket();

    Listener(String host, int port, Handler handler) throws IOException {
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getByName(host), port), 200);
        start(() -> {
            while (true) {
                Socket socket = server.accept();
                start(() -> {
                    try (socket) {
                        socket.setTcpNoDelay(true);
                        handler.serve(socket, new BufferedInputStream(socket.getInputStream()), socket.getOutputStream());
                    }
                });
            }
        });
    }

    String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    /** A task that may fail, which then ends. */
    interface Task {
        void run() throws Exception;
    }

    static Thread start(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException | InterruptedException exception) {
                // The channel or the run has ended.
            } catch (Exception exception) {
                exception.printStackTrace();
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
