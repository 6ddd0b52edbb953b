package sycamorehill.process;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * What callers have sent, and what targets have done and answered at each sending.
 */
final class SoakLedger {

	private final Set<String> tokens = ConcurrentHashMap.newKeySet();

	private final Map<String, List<Sending>> sendings = new ConcurrentHashMap<>();

	private final Queue<String> faults = new ConcurrentLinkedQueue<>();

	private final AtomicInteger numbers = new AtomicInteger();

	void recordSent(SoakRequest request) {
		this.tokens.add(request.token());
	}

	/**
	 * Records a sending before anything of its answer is written.
	 * @param sending the sending
	 */
	void record(Sending sending) {
		if (!this.tokens.contains(sending.token())) {
			addFault("a request that no caller sent: " + sending);
		}
		this.sendings.computeIfAbsent(sending.token(), (token) -> new CopyOnWriteArrayList<>()).add(sending);
	}

	List<Sending> sendings(String token) {
		return this.sendings.getOrDefault(token, List.of());
	}

	Map<String, List<Sending>> all() {
		return this.sendings;
	}

	/**
	 * Returns a signature that no other answer bears.
	 * @param target name of the target
	 * @return the signature
	 */
	String nextSignature(String target) {
		return target + '.' + this.numbers.incrementAndGet();
	}

	/**
	 * Adds a fault, in one line.
	 * @param fault what is wrong
	 */
	void addFault(String fault) {
		String line = fault.replace("\r", "\\r").replace("\n", "\\n").replaceAll("(\\. ){9,}", ".. ");
		this.faults.add(Instant.now() + " " + line);
	}

	List<String> faults() {
		return List.copyOf(this.faults);
	}

	/**
	 * One sending of a request to a target.
	 *
	 * @param token the request's token
	 * @param identifier the request's identifier
	 * @param at when it arrived
	 * @param connection target, number of the connection and number of the request on it
	 * @param forms the form of the answer and of the second answer
	 * @param answer what the target gives as its answer
	 */
	record Sending(String token, String identifier, Instant at, String connection, String forms,
			ScriptedAnswer answer) {
	}

}
