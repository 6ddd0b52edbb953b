package sycamorehill.process;

import java.io.IOException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import sycamorehill.process.PlatformNodes.PlatformNode;
import sycamorehill.process.SoakRequest.Kind;

/**
 * Caller of the soak: sends one request after another to one node on a connection that it
 * keeps, at times an identifier twice, and at times leaves.
 */
final class SoakCaller {

	private static final int MAXIMUM_EVENTS = 30;

	private static final int MAXIMUM_BODY_BYTES = 2000;

	private static final int LONG_BODY_BYTES = 200_000;

	private static final int MAXIMUM_PAUSE_MILLIS = 60;

	private static final int DEADLINE_MILLIS = 5000;

	private final String name;

	private final PlatformNode node;

	private final SoakLedger ledger;

	private final SoakPhase phase;

	private final Random random;

	private final List<SoakAnswer> answers = new ArrayList<>();

	private int requests;

	private String identifier = "";

	SoakCaller(String name, PlatformNode node, SoakLedger ledger, SoakPhase phase, long seed) {
		this.name = name;
		this.node = node;
		this.ledger = ledger;
		this.phase = phase;
		this.random = new Random(seed);
	}

	/**
	 * Sends requests until the soak ends.
	 * @return what the caller got
	 */
	List<SoakAnswer> run() {
		while (!this.phase.isEnded()) {
			try (KeptConnection connection = KeptConnection.open(this.node.callers())) {
				callOn(connection);
			}
			catch (IOException ex) {
				if (this.phase.mustServe()) {
					this.ledger.addFault(this.name + " has no connection after the trouble: " + ex);
				}
			}
			pause(MAXIMUM_PAUSE_MILLIS);
		}
		return this.answers;
	}

	private void callOn(KeptConnection connection) throws IOException {
		while (!this.phase.isEnded()) {
			boolean mustServe = this.phase.mustServe();
			SoakRequest request = draw();
			this.ledger.recordSent(request);
			Instant sent = Instant.now();
			connection.send(bytes(request));
			if (!mustServe && this.random.nextInt(25) == 0) {
				pause(MAXIMUM_PAUSE_MILLIS);
				this.answers.add(SoakAnswer.left(request, sent));
				return;
			}
			SoakAnswer answer = SoakAnswer.read(request, sent, connection);
			this.answers.add(answer);
			check(answer, mustServe);
			if (!answer.whole() || answer.announcesClose()) {
				return;
			}
			pause(MAXIMUM_PAUSE_MILLIS);
			if (connection.hasBytes()) {
				this.ledger.addFault("bytes with no request waiting: " + describe(answer));
				return;
			}
		}
	}

	private SoakRequest draw() {
		String token = this.name + '-' + ++this.requests;
		boolean again = !this.identifier.isEmpty() && this.random.nextInt(6) == 0;
		this.identifier = again ? this.identifier : "id-" + token;
		int choice = this.random.nextInt(20);
		if (choice < 8) {
			int size = (choice == 0) ? LONG_BODY_BYTES : this.random.nextInt(MAXIMUM_BODY_BYTES);
			return new SoakRequest(Kind.ONCE, "POST", this.identifier, token, size, 0);
		}
		if (choice < 14) {
			return new SoakRequest(Kind.AGAIN, (choice == 8) ? "HEAD" : "GET", this.identifier, token,
					this.random.nextInt(MAXIMUM_BODY_BYTES), 0);
		}
		return new SoakRequest((choice < 17) ? Kind.STREAM : Kind.RESUMABLE, "POST", this.identifier, token,
				1 + this.random.nextInt(MAXIMUM_EVENTS), 0);
	}

	private String bytes(SoakRequest request) {
		String body = request.body();
		boolean chunked = !body.isEmpty() && this.random.nextInt(4) == 0;
		String framing = chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + body.length();
		String framed = chunked ? Integer.toHexString(body.length()) + "\r\n" + body + "\r\n0\r\n\r\n" : body;
		return request.method() + ' ' + request.path() + " HTTP/1.1\r\nHost: " + SoakRequest.HOST + "\r\nAttempt-Id: "
				+ request.identifier() + "\r\nDeadline-Ms: " + DEADLINE_MILLIS + "\r\n"
				+ ((request.kind() == Kind.AGAIN) ? "" : framing + "\r\n") + "\r\n" + framed;
	}

	private void check(SoakAnswer answer, boolean mustServe) {
		Optional<String> fault = SoakChecks.check(answer, this.ledger.sendings(answer.request().token()));
		if (fault.isEmpty() && mustServe && !(answer.isSuccess() && answer.whole())) {
			fault = Optional.of("not served after the trouble");
		}
		fault.ifPresent((text) -> this.ledger.addFault(text + ": " + describe(answer)));
	}

	String describe(SoakAnswer answer) {
		return this.node.name() + ' ' + answer + ' ' + this.ledger.sendings(answer.request().token());
	}

	private void pause(int maximumMillis) {
		try {
			TimeUnit.MILLISECONDS.sleep(this.random.nextInt(maximumMillis));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
