package sycamorehill.entry;

import java.util.Arrays;

/**
 * Kinds of frames between nodes. Their names are part of the wire format.
 */
enum ProxyFrameKind {

	REQUEST(ProxyFrame.Request.class),

	BODY(ProxyFrame.Body.class),

	ACCEPTED(ProxyFrame.Accepted.class),

	CONFIRMED(ProxyFrame.Confirmed.class),

	HEAD(ProxyFrame.Head.class),

	EVENT(ProxyFrame.Event.class),

	STALLED(ProxyFrame.Stalled.class),

	END(ProxyFrame.End.class);

	private final Class<? extends ProxyFrame> type;

	ProxyFrameKind(Class<? extends ProxyFrame> type) {
		this.type = type;
	}

	static ProxyFrameKind of(ProxyFrame frame) {
		return Arrays.stream(values()).filter((kind) -> kind.type.isInstance(frame)).findFirst().orElseThrow();
	}

}
