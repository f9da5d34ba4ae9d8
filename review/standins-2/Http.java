import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.URLDecoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** HTTP servers and a client on loopback. */
final class Http {
    static {
        System.setProperty("sun.net.httpserver.nodelay", "true");
    }

    private static final ExecutorService THREADS =
        Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        });

    private static final HttpClient CLIENT =
        HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(Duration.ofMillis(1000)).executor(THREADS).build();

    /** A request to a server. */
    static final class Request {
        String method;
        String path;
        Map<String, String> query = new HashMap<>();
        byte[] body;
    }

    /** A response. The body is JSON text. */
    static final class Answer {
        final int status;
        final byte[] body;
        Integer retryAfterS;

        Answer(int status, Object json) {
            this(status, Json.write(json).getBytes(StandardCharsets.UTF_8));
        }

        Answer(int status, byte[] body) {
            this.status = status;
            this.body = body;
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        Map<String, Object> json() {
            return Json.object(body);
        }
    }

    /** Answers requests; null means that no answer is ever sent. */
    interface Handler {
        Answer handle(Request request) throws Exception;
    }

    /** Starts a server on a free port of 127.0.0.1. */
    static HttpServer serve(Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
        server.setExecutor(THREADS);
        server.createContext("/", exchange -> exchange(exchange, handler));
        server.start();
        return server;
    }

    private static void exchange(HttpExchange exchange, Handler handler) {
        try {
            Request request = new Request();
            request.method = exchange.getRequestMethod();
            request.path = exchange.getRequestURI().getPath();
            String query = exchange.getRequestURI().getRawQuery();
            if (query != null) {
                for (String part : query.split("&")) {
                    int equals = part.indexOf('=');
                    if (equals > 0) {
                        request.query.put(part.substring(0, equals), URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
                    }
                }
            }
            request.body = exchange.getRequestBody().readAllBytes();
            Answer answer = handler.handle(request);
            if (answer == null) {
                Thread.sleep(15_000);
                exchange.close();
                return;
            }
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(answer.status, answer.body.length == 0 ? -1 : answer.body.length);
            exchange.getResponseBody().write(answer.body);
            exchange.close();
        } catch (Exception e) {
            exchange.close();
        }
    }

    /** Sends a request. Returns null if there is no response within [timeoutMs]. */
    static Answer call(String addr, String method, String path, byte[] body, long timeoutMs) {
        try {
            HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + addr + path)).timeout(Duration.ofMillis(timeoutMs))
                    .method(method, body == null ? HttpRequest.BodyPublishers.noBody() : HttpRequest.BodyPublishers.ofByteArray(body)).build();
            HttpResponse<byte[]> response = CLIENT.send(request, HttpResponse.BodyHandlers.ofByteArray());
            Answer answer = new Answer(response.statusCode(), response.body());
            response.headers().firstValue("Retry-After").ifPresent(text -> answer.retryAfterS = Integer.parseInt(text.trim()));
            return answer;
        } catch (IOException e) {
            return null;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return null;
        }
    }

    static Answer call(String addr, String method, String path, Object json, long timeoutMs) {
        return call(addr, method, path, json == null ? null : Json.write(json).getBytes(StandardCharsets.UTF_8), timeoutMs);
    }

    static void run(Runnable task) {
        THREADS.execute(task);
    }
}
