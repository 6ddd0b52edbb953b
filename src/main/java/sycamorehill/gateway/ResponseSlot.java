package sycamorehill.gateway;

import java.util.concurrent.atomic.AtomicBoolean;

import io.servicetalk.concurrent.SingleSource;
import io.servicetalk.concurrent.api.Processors;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.concurrent.api.SourceAdapters;
import io.servicetalk.http.api.StreamingHttpResponse;

/**
 * The head of the answer to one caller, given once.
 */
final class ResponseSlot {

	private final SingleSource.Processor<StreamingHttpResponse, StreamingHttpResponse> response = Processors
		.newSingleProcessor();

	private final AtomicBoolean given = new AtomicBoolean();

	private ResponseSlot() {
	}

	static ResponseSlot create() {
		return new ResponseSlot();
	}

	/**
	 * Gives the head of the answer.
	 * @param head the head
	 * @return whether it was the first
	 */
	boolean give(StreamingHttpResponse head) {
		if (!this.given.compareAndSet(false, true)) {
			return false;
		}
		this.response.onSuccess(head);
		return true;
	}

	boolean given() {
		return this.given.get();
	}

	Single<StreamingHttpResponse> single() {
		return SourceAdapters.fromSource(this.response);
	}

}
