package sycamorehill.entry;

import io.netty.channel.ChannelPipeline;

import sycamorehill.model.serving.CallerLimits;

/**
 * Limits of the requests on one caller's connection. A caller may keep its connection
 * over many configurations.
 */
final class RequestLimits {

	private final CallerServer server;

	private CallerLimits current;

	private RequestLimits(CallerServer server, CallerLimits current) {
		this.server = server;
		this.current = current;
	}

	/**
	 * Creates the limits of a connection.
	 * @param server knows the limits of the configuration
	 * @param current limits of the first request
	 * @return the limits
	 */
	static RequestLimits of(CallerServer server, CallerLimits current) {
		return new RequestLimits(server, current);
	}

	/**
	 * Returns the limits of the request that is being read, or was read last.
	 * @return the limits
	 */
	CallerLimits current() {
		return this.current;
	}

	/**
	 * Takes the limits of the configuration for the request that begins to arrive. Bytes
	 * of this request that the replaced decoder holds go to the new one, but not lines
	 * that it has read: a request that was begun behind another one has the limits of
	 * that one.
	 * @param pipeline contains the decoder
	 */
	void takeConfigured(ChannelPipeline pipeline) {
		CallerLimits configured = this.server.limits();
		if (configured.maximumHeaderBytes() != this.current.maximumHeaderBytes()) {
			if (pipeline.get(StrictRequestDecoder.class).hasBegunHead()) {
				return;
			}
			pipeline.replace(StrictRequestDecoder.class, null, StrictRequestDecoder.of(configured));
		}
		this.current = configured;
	}

}
