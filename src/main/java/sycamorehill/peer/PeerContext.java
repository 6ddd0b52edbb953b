package sycamorehill.peer;

import java.util.function.Consumer;

import sycamorehill.model.event.PeerEvent;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.log.LogLine;

/**
 * What every connection of one transport shares.
 *
 * @param self who this node is
 * @param secret the shared secret
 * @param codec the messages
 * @param counters counts what happens
 * @param events takes what comes from outside
 * @param log takes numbered log lines
 */
record PeerContext(NodeIdentity self, byte[] secret, PeerMessageCodec codec, PeerCounters counters,
		Consumer<PeerEvent> events, Consumer<LogLine> log) {

	@Override
	public String toString() {
		return "PeerContext[self=" + this.self + "]";
	}

}
