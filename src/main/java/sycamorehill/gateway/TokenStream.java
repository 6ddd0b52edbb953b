package sycamorehill.gateway;

import java.util.concurrent.atomic.AtomicInteger;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.PublisherSource;
import io.servicetalk.concurrent.api.Processors;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.SourceAdapters;

/**
 * The body of a streamed answer. A caller that does not read would let unread tokens grow
 * without end: beyond a bound the stream is given up, which only that caller notices.
 */
final class TokenStream {

	private static final int MOST_UNREAD = 4096;

	private final PublisherSource.Processor<Buffer, Buffer> body = Processors.newPublisherProcessor(2 * MOST_UNREAD);

	private final AtomicInteger unread = new AtomicInteger();

	private boolean over;

	private TokenStream() {
	}

	static TokenStream create() {
		return new TokenStream();
	}

	Publisher<Buffer> publisher() {
		return SourceAdapters.fromSource(this.body).beforeOnNext((buffer) -> this.unread.decrementAndGet());
	}

	/**
	 * Writes an event.
	 * @param event the event
	 * @return whether the caller still keeps up
	 */
	synchronized boolean write(Buffer event) {
		if (this.over) {
			return true;
		}
		if (this.unread.incrementAndGet() > MOST_UNREAD) {
			return false;
		}
		this.body.onNext(event);
		return true;
	}

	synchronized void complete() {
		if (!this.over) {
			this.over = true;
			this.body.onComplete();
		}
	}

	synchronized void fail(String reason) {
		if (!this.over) {
			this.over = true;
			this.body.onError(new IllegalStateException(reason));
		}
	}

}
