import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;

/** Forwards connections to a port. Those that are open can go silent for good, while new ones work. */
final class Proxy {
    private final int target;
    private final ServerSocket listener;
    private final Set<AtomicBoolean> open = ConcurrentHashMap.newKeySet();
    final int port;

    Proxy(int target) throws IOException {
        this.target = target;
        listener = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
        port = listener.getLocalPort();
        Rig.spawn(() -> {
            while (true) {
                try {
                    forward(listener.accept());
                } catch (IOException closed) {
                    return;
                }
            }
        });
    }

    private void forward(Socket near) throws IOException {
        Socket far = new Socket("127.0.0.1", target);
        near.setTcpNoDelay(true);
        far.setTcpNoDelay(true);
        AtomicBoolean silent = new AtomicBoolean();
        open.add(silent);
        Rig.spawn(() -> copy(near, far, silent));
        Rig.spawn(() -> copy(far, near, silent));
    }

    private void copy(Socket from, Socket to, AtomicBoolean silent) {
        byte[] buffer = new byte[65_536];
        try (from; to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                // Nothing passes on a silent connection, and its ends don't hear of each other's close.
                if (!silent.get()) out.write(buffer, 0, count);
            }
            while (silent.get()) Thread.sleep(1_000);
        } catch (IOException | InterruptedException closed) {
            // An end has closed the connection.
        }
        open.remove(silent);
    }

    /** The connections that are open now go silent; returns their number. */
    int silence() {
        open.forEach(it -> it.set(true));
        return open.size();
    }
}
