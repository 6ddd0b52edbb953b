import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Client that sends one request on a new connection and reads its answer: PROTOCOL.md, "Answers". */
final class Caller {

	private Caller() {
	}

	/**
	 * Sends a request and reads the answer.
	 * @param patienceMillis longest gap between two reads after which the client leaves
	 */
	static Answer send(String ip, int port, String method, String path, String attempt, long deadlineMillis,
			int patienceMillis) {
		StringBuilder body = new StringBuilder();
		int status = 0;
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(ip, port), 1000);
			socket.setTcpNoDelay(true);
			socket.setSoTimeout(patienceMillis);
			String content = method.equals("POST") ? "order" : "";
			socket.getOutputStream()
				.write((method + " " + path + " HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " + attempt
						+ "\r\nDeadline-Ms: " + deadlineMillis + "\r\nContent-Length: " + content.length() + "\r\n\r\n"
						+ content)
					.getBytes(StandardCharsets.ISO_8859_1));
			InputStream input = new BufferedInputStream(socket.getInputStream());
			Map<String, String> head = EngineProcess.readHead(input);
			if (head == null) {
				return new Answer(0, "", false, "closed without an answer");
			}
			status = Integer.parseInt(head.get("").split(" ")[1]);
			if (!"chunked".equalsIgnoreCase(head.get("transfer-encoding"))) {
				int length = Integer.parseInt(head.getOrDefault("content-length", "0"));
				byte[] bytes = input.readNBytes(length);
				return new Answer(status, new String(bytes, StandardCharsets.ISO_8859_1), bytes.length == length,
						(bytes.length == length) ? "complete" : "cut within the answer");
			}
			while (true) {
				String size = EngineProcess.readLine(input);
				if (size == null) {
					return new Answer(status, body.toString(), false, "cut within the answer");
				}
				int length = Integer.parseInt(size.split(";")[0].trim(), 16);
				byte[] bytes = input.readNBytes(length);
				body.append(new String(bytes, StandardCharsets.ISO_8859_1));
				if (bytes.length < length || EngineProcess.readLine(input) == null) {
					return new Answer(status, body.toString(), false, "cut within the answer");
				}
				if (length == 0) {
					return new Answer(status, body.toString(), true, "complete");
				}
			}
		}
		catch (SocketTimeoutException ex) {
			return new Answer(status, body.toString(), false, "the client left");
		}
		catch (IOException ex) {
			return new Answer(status, body.toString(), false, "connection lost: " + ex.getMessage());
		}
	}

	record Answer(int status, String body, boolean complete, String end) {

		int events() {
			return this.body.split("\n\n", -1).length - 1;
		}

		@Override
		public String toString() {
			return "status " + this.status + ", " + this.body.length() + " bytes, " + this.end;
		}

	}

}
