package sycamorehill.peer;

import java.util.function.Consumer;

import sycamorehill.model.event.PeerEvent;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.log.LogLine;

/**
 * Holds what all connections of one transport share.
 *
 * @param self the identity of this node
 * @param secret the secret shared by all nodes
 * @param codec encodes and decodes messages
 * @param counters the counters of the transport
 * @param events receives messages and send failures
 * @param log receives log lines
 */
record PeerContext(NodeIdentity self, byte[] secret, PeerMessageCodec codec, PeerCounters counters,
		Consumer<PeerEvent> events, Consumer<LogLine> log) {

	@Override
	public String toString() {
		return "PeerContext[self=" + this.self + "]";
	}

}
