package sycamorehill.platform;

import java.math.BigDecimal;
import java.math.RoundingMode;
import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

import sycamorehill.entry.CallerRequestHead;
import sycamorehill.entry.ExchangeCodec;
import sycamorehill.entry.ForwardingMetadata;
import sycamorehill.entry.TargetResponseHead;
import sycamorehill.model.serving.EngineLoad;
import sycamorehill.model.serving.RequestRate;
import sycamorehill.model.serving.TokenCounts;

/**
 * Heads of requests and answers as the platform's callers and targets speak them.
 */
final class PlatformExchangeCodec implements ExchangeCodec {

	private static final String READINESS_PATH = "/-/ready";

	private static final String IDLE_PARAMETER = "timeout=";

	private static final int MISDIRECTED = 421;

	private PlatformExchangeCodec() {
	}

	static PlatformExchangeCodec create() {
		return new PlatformExchangeCodec();
	}

	@Override
	public CallerRequestHead readCallerRequest(HttpRequest request) {
		HttpHeaders headers = request.headers();
		return new CallerRequestHead(headers.get(PlatformHeaders.ATTEMPT, ""), key(headers),
				Optional.ofNullable(headers.get(PlatformHeaders.MODEL)), size(headers),
				millis(headers.get(PlatformHeaders.TIME_LEFT)),
				Optional.ofNullable(headers.get(PlatformHeaders.RESUME_AFTER)));
	}

	private static Optional<String> key(HttpHeaders headers) {
		String value = headers.get(PlatformHeaders.KEY);
		boolean scheme = value != null
				&& value.regionMatches(true, 0, PlatformHeaders.KEY_SCHEME, 0, PlatformHeaders.KEY_SCHEME.length());
		return scheme ? Optional.of(value.substring(PlatformHeaders.KEY_SCHEME.length()).trim()) : Optional.empty();
	}

	private static Optional<TokenCounts> size(HttpHeaders headers) {
		int[] numbers = numbers(headers.get(PlatformHeaders.PROMPT_SIZE), 2);
		return (numbers != null) ? Optional.of(new TokenCounts(numbers[0], numbers[1])) : Optional.empty();
	}

	private static int[] numbers(String text, int count) {
		String[] parts = (text != null) ? text.split(",") : new String[0];
		if (parts.length < count) {
			return null;
		}
		int[] numbers = new int[count];
		for (int index = 0; index < count; index++) {
			Optional<BigDecimal> number = number(parts[index]);
			if (number.isEmpty()) {
				return null;
			}
			numbers[index] = number.get().intValue();
		}
		return numbers;
	}

	// A header that is no number is passed on as it is, and tells us nothing.
	private static Optional<BigDecimal> number(String text) {
		if (text == null) {
			return Optional.empty();
		}
		try {
			return Optional.of(new BigDecimal(text.trim()));
		}
		catch (NumberFormatException ex) {
			return Optional.empty();
		}
	}

	private static Optional<Duration> millis(String text) {
		return number(text).map((value) -> Duration.ofMillis(value.setScale(0, RoundingMode.DOWN).longValue()));
	}

	private static Optional<Duration> seconds(String text) {
		return number(text).map((value) -> Duration.ofMillis(value.movePointRight(3).longValue()));
	}

	@Override
	public HttpHeaders targetHeaders(HttpRequest request, ForwardingMetadata forwarding) {
		HttpHeaders headers = passedOn(request.headers(), true);
		headers.set(PlatformHeaders.EXPECT_INSTANCE, forwarding.target().value());
		forwarding.timeLeft().ifPresent((left) -> headers.set(PlatformHeaders.TIME_LEFT, Math.max(1, left.toMillis())));
		forwarding.workspace().ifPresent((workspace) -> headers.set(PlatformHeaders.WORKSPACE, workspace.value()));
		headers.set(PlatformHeaders.PRIORITY, forwarding.priority());
		forwarding.resumeAfter().ifPresent((event) -> headers.set(PlatformHeaders.RESUME_AFTER, event));
		forwarding.weightsVersion().ifPresent((version) -> headers.set(PlatformHeaders.EXPECT_WEIGHTS, version));
		return headers;
	}

	private static HttpHeaders passedOn(HttpHeaders original, boolean toTarget) {
		Set<String> named = new HashSet<>();
		original.getAll(HttpHeaderNames.CONNECTION)
			.forEach((value) -> Set.of(PlatformHeaders.lower(value).split("\\s*,\\s*")).forEach(named::add));
		HttpHeaders headers = new DefaultHttpHeaders(false);
		for (Map.Entry<String, String> header : original) {
			boolean dropped = PlatformHeaders.ofConnection(header.getKey())
					|| (toTarget && PlatformHeaders.ofSystem(header.getKey()))
					|| named.contains(PlatformHeaders.lower(header.getKey()));
			if (!dropped) {
				headers.add(header.getKey(), header.getValue());
			}
		}
		return headers;
	}

	@Override
	public TargetResponseHead readTargetResponse(HttpResponse response) {
		HttpHeaders headers = response.headers();
		return new TargetResponseHead(Optional.ofNullable(headers.get(PlatformHeaders.ATTEMPT)),
				headers.contains(PlatformHeaders.NOT_RUN), response.status().code() == MISDIRECTED,
				headers.contains(PlatformHeaders.SIGNATURE), load(headers), limit(headers),
				Optional.ofNullable(headers.get(PlatformHeaders.WEIGHTS)),
				seconds(headers.get(PlatformHeaders.RETRY_AFTER)), idleTimeout(headers));
	}

	private static Optional<EngineLoad> load(HttpHeaders headers) {
		int[] numbers = numbers(headers.get(PlatformHeaders.LOAD), 3);
		return (numbers != null) ? Optional.of(new EngineLoad(numbers[0], numbers[1], numbers[2])) : Optional.empty();
	}

	private static Optional<RequestRate> limit(HttpHeaders headers) {
		return number(headers.get(PlatformHeaders.LIMIT)).map(BigDecimal::doubleValue)
			.filter((perSecond) -> Double.isFinite(perSecond) && perSecond >= 0)
			.map(RequestRate::new);
	}

	private static Optional<Duration> idleTimeout(HttpHeaders headers) {
		String value = headers.get(PlatformHeaders.KEEP_ALIVE);
		if (value == null) {
			return Optional.empty();
		}
		for (String parameter : value.split(",")) {
			String trimmed = parameter.trim();
			if (trimmed.startsWith(IDLE_PARAMETER)) {
				return seconds(trimmed.substring(IDLE_PARAMETER.length()));
			}
		}
		return Optional.empty();
	}

	@Override
	public HttpHeaders callerHeaders(HttpResponse response) {
		return passedOn(response.headers(), false);
	}

	@Override
	public HttpHeaders localAnswerHeaders(String identifier, Optional<Duration> retryAfter) {
		HttpHeaders headers = new DefaultHttpHeaders();
		headers.set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
		if (!identifier.isEmpty()) {
			headers.set(PlatformHeaders.ATTEMPT, identifier);
		}
		retryAfter.ifPresent((time) -> headers.set(PlatformHeaders.RETRY_AFTER,
				BigDecimal.valueOf(time.toMillis(), 3).toPlainString()));
		return headers;
	}

	@Override
	public String readinessPath() {
		return READINESS_PATH;
	}

}
