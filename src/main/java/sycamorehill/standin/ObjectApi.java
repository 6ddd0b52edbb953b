package sycamorehill.standin;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.servicetalk.http.api.HttpRequest;

import sycamorehill.model.platform.ObjectKey;
import sycamorehill.model.platform.ObjectKind;
import sycamorehill.model.platform.PlatformAnswer;
import sycamorehill.model.platform.PlatformRequest;
import sycamorehill.model.platform.PlatformValue;
import sycamorehill.model.platform.StoredObject;

/**
 * The object API over HTTP: conditional updates, lists and watches that wait.
 */
final class ObjectApi {

	private static final ObjectMapper JSON = new ObjectMapper();

	private static final int LARGEST_VALUE = 1 << 20;

	private static final String OBJECTS = "/v1/objects/";

	private static final String WATCH = "/v1/watch/";

	private final ObjectStore store = ObjectStore.create();

	private final List<Waiter> waiters = new ArrayList<>();

	private final ScheduledExecutorService clock;

	private ObjectApi(ScheduledExecutorService clock) {
		this.clock = clock;
	}

	static ObjectApi create(ScheduledExecutorService clock) {
		return new ObjectApi(clock);
	}

	static boolean takes(String path) {
		return path.startsWith(OBJECTS) || path.startsWith(WATCH);
	}

	CompletionStage<Reply> handle(HttpRequest request) {
		String path = request.path();
		if (path.startsWith(WATCH)) {
			return kind(path.substring(WATCH.length())).map((kind) -> watch(kind, request))
				.orElseGet(() -> CompletableFuture.completedFuture(Reply.empty(404)));
		}
		return CompletableFuture.completedFuture(objects(path.substring(OBJECTS.length()), request));
	}

	private Reply objects(String place, HttpRequest request) {
		int slash = place.indexOf('/');
		Optional<ObjectKind> kind = kind((slash < 0) ? place : place.substring(0, slash));
		if (kind.isEmpty()) {
			return Reply.empty(404);
		}
		if (slash < 0) {
			String after = Optional.ofNullable(request.queryParameter("after")).orElse("");
			int limit = (int) number(request.queryParameter("limit"), Integer.MAX_VALUE);
			return listed(call(new PlatformRequest.ListObjects(kind.get(), after, limit)));
		}
		return object(ObjectKey.of(kind.get(), place.substring(slash + 1)), request);
	}

	private Reply object(ObjectKey key, HttpRequest request) {
		return switch (request.method().name()) {
			case "GET" -> found(call(new PlatformRequest.Read(key)));
			case "PUT" -> put(key, request);
			case "DELETE" -> ifMatch(request).map((version) -> call(new PlatformRequest.Delete(key, version)))
				.map((answer) -> written(answer, 204))
				.orElse(Reply.empty(428));
			default -> Reply.empty(405);
		};
	}

	private Reply put(ObjectKey key, HttpRequest request) {
		if (request.payloadBody().readableBytes() > LARGEST_VALUE) {
			return Reply.empty(413);
		}
		PlatformValue value = new RawValue(request.payloadBody().toString(StandardCharsets.UTF_8));
		if (request.headers().contains("If-None-Match")) {
			return written(call(new PlatformRequest.Create(key, value)), 200);
		}
		return ifMatch(request).map((version) -> call(new PlatformRequest.Update(key, value, version)))
			.map((answer) -> written(answer, 200))
			.orElse(Reply.empty(428));
	}

	private static Optional<Long> ifMatch(HttpRequest request) {
		return Optional.ofNullable(request.headers().get("If-Match"))
			.map((tag) -> Long.parseLong(tag.toString().replace("\"", "")));
	}

	private PlatformAnswer call(PlatformRequest request) {
		PlatformAnswer answer;
		List<Waiter> woken = new ArrayList<>();
		synchronized (this) {
			answer = this.store.call(request);
			if (answer instanceof PlatformAnswer.Written) {
				takeWoken(woken);
			}
		}
		woken.forEach((waiter) -> waiter.answer.complete(listed(call(waiter.request))));
		return answer;
	}

	private void takeWoken(List<Waiter> woken) {
		for (Iterator<Waiter> each = this.waiters.iterator(); each.hasNext();) {
			Waiter waiter = each.next();
			if (!((PlatformAnswer.Listed) this.store.call(waiter.request)).objects().isEmpty()) {
				woken.add(waiter);
				each.remove();
			}
		}
	}

	private CompletionStage<Reply> watch(ObjectKind kind, HttpRequest request) {
		double seconds = number(request.queryParameter("wait"), 0);
		PlatformRequest.Watch watch = new PlatformRequest.Watch(kind, (long) number(request.queryParameter("after"), 0),
				Duration.ofMillis((long) (seconds * 1000)));
		Waiter waiter = new Waiter(watch, new CompletableFuture<>());
		synchronized (this) {
			PlatformAnswer now = this.store.call(watch);
			if (!((PlatformAnswer.Listed) now).objects().isEmpty() || watch.maximumWait().isZero()) {
				return CompletableFuture.completedFuture(listed(now));
			}
			this.waiters.add(waiter);
		}
		this.clock.schedule(() -> giveUp(waiter), watch.maximumWait().toMillis(), TimeUnit.MILLISECONDS);
		return waiter.answer;
	}

	private void giveUp(Waiter waiter) {
		synchronized (this) {
			this.waiters.remove(waiter);
		}
		waiter.answer.complete(listed(call(waiter.request)));
	}

	private static Reply found(PlatformAnswer answer) {
		if (answer instanceof PlatformAnswer.Found found) {
			return tagged(Reply.json(200, raw(found.object())), found.object().version());
		}
		return Reply.empty(404);
	}

	private static Reply written(PlatformAnswer answer, int status) {
		if (answer instanceof PlatformAnswer.Written written) {
			Reply reply = Reply.empty(status);
			return tagged(reply, written.version());
		}
		return Reply.empty(412);
	}

	private static Reply tagged(Reply reply, long version) {
		return reply.with("ETag", "\"" + version + "\"");
	}

	private static Reply listed(PlatformAnswer answer) {
		PlatformAnswer.Listed listed = (PlatformAnswer.Listed) answer;
		StringBuilder text = new StringBuilder("{\"version\": ").append(listed.version()).append(", \"objects\": [");
		String separator = "";
		for (StoredObject object : listed.objects()) {
			text.append(separator)
				.append("{\"name\": ")
				.append(JSON.getNodeFactory().textNode(object.key().name()))
				.append(", \"version\": ")
				.append(object.version())
				.append(", \"value\": ")
				.append(raw(object))
				.append('}');
			separator = ", ";
		}
		return Reply.json(200, text.append("]}").toString());
	}

	private static String raw(StoredObject object) {
		return ((RawValue) object.value()).json();
	}

	private static Optional<ObjectKind> kind(String path) {
		return Arrays.stream(ObjectKind.values()).filter((kind) -> kind.path().equals(path)).findFirst();
	}

	private static double number(String text, double otherwise) {
		return (text != null) ? Double.parseDouble(text) : otherwise;
	}

	private record Waiter(PlatformRequest.Watch request, CompletableFuture<Reply> answer) {

	}

}
