package sycamorehill.experiment.group;

import java.util.HashMap;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectWriter;

import sycamorehill.json.ModelJson;
import sycamorehill.model.peer.PeerMessage;

/**
 * Counts what nodes send each other, in bytes on the wire.
 */
final class TrialTraffic {

	/**
	 * Length, code and envelope of a frame, and the headers of TCP and IP with one
	 * acknowledgement.
	 */
	private static final int FRAME_BYTES = 4 + 16 + 24 + 52 + 52;

	private final ObjectWriter writer = ModelJson.messagePack().writer();

	private final Map<TrialNode, Long> sent = new HashMap<>();

	private final Map<TrialNode, Long> received = new HashMap<>();

	private final Map<TrialNode, Long> asked = new HashMap<>();

	private boolean counts;

	void restart() {
		this.counts = true;
		this.sent.clear();
		this.received.clear();
		this.asked.clear();
	}

	void message(TrialNode from, TrialNode to, PeerMessage message) {
		if (!this.counts) {
			return;
		}
		long bytes = FRAME_BYTES + size(message);
		this.sent.merge(from, bytes, Long::sum);
		this.received.merge(to, bytes, Long::sum);
	}

	void ask(TrialNode node) {
		this.asked.merge(node, 1L, Long::sum);
	}

	long sent(TrialNode node) {
		return this.sent.getOrDefault(node, 0L);
	}

	long received(TrialNode node) {
		return this.received.getOrDefault(node, 0L);
	}

	long asked(TrialNode node) {
		return this.asked.getOrDefault(node, 0L);
	}

	private int size(PeerMessage message) {
		try {
			return this.writer.writeValueAsBytes(message).length;
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
