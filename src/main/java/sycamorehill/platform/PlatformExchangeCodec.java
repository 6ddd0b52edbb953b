package sycamorehill.platform;

import java.math.BigDecimal;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;

import sycamorehill.entry.CallerRequestHead;
import sycamorehill.entry.ExchangeCodec;
import sycamorehill.entry.ForwardingMetadata;
import sycamorehill.entry.IncarnationCodec;
import sycamorehill.entry.TargetResponseHead;
import sycamorehill.model.serving.EngineLoad;
import sycamorehill.model.serving.RequestRate;
import sycamorehill.model.serving.TargetReport;
import sycamorehill.model.serving.TokenCounts;

/**
 * Reads and writes the heads of requests and answers that are exchanged with the
 * platform's callers and targets.
 */
final class PlatformExchangeCodec implements ExchangeCodec {

	private static final String READINESS_PATH = "/-/ready";

	private static final String IDLE_TIMEOUT_PARAMETER = "timeout=";

	private static final String LEAVING = "1";

	private static final int MISDIRECTED_REQUEST = 421;

	/** Maximum number of parts of a prompt that are told apart. */
	private static final int MAXIMUM_PROMPT_PARTS = 32;

	/** Maximum length of the identifier of a part; longer ones are not told apart. */
	private static final int MAXIMUM_PART_LENGTH = 64;

	/**
	 * Largest count that is read from a header, so that two can be added up; a larger one
	 * counts as malformed.
	 */
	private static final BigDecimal MAXIMUM_COUNT = BigDecimal.valueOf(1_000_000_000);

	/**
	 * Maximum length of a number in a header, in characters. Reading a long one takes
	 * time that grows with the square of its digits.
	 */
	private static final int MAXIMUM_NUMBER_LENGTH = 64;

	/**
	 * Longest time in seconds that is read from a header; a longer one counts as this.
	 */
	private static final BigDecimal MAXIMUM_SECONDS = BigDecimal.valueOf(Duration.ofDays(1).toSeconds());

	/**
	 * Longest time in milliseconds that is read from a header; a longer one counts as
	 * this.
	 */
	private static final BigDecimal MAXIMUM_MILLISECONDS = MAXIMUM_SECONDS.movePointRight(3);

	private final IncarnationCodec incarnations = PlatformIncarnationCodec.create();

	private PlatformExchangeCodec() {
	}

	static PlatformExchangeCodec create() {
		return new PlatformExchangeCodec();
	}

	@Override
	public CallerRequestHead readCallerRequest(HttpRequest request) {
		HttpHeaders headers = request.headers();
		return new CallerRequestHead(headers.get(PlatformHeaders.ATTEMPT_IDENTIFIER, ""), apiKey(headers),
				Optional.ofNullable(headers.get(PlatformHeaders.MODEL)), tokenCounts(headers),
				sharedPromptParts(headers), parseMilliseconds(headers.get(PlatformHeaders.TIME_LEFT)),
				Optional.ofNullable(headers.get(PlatformHeaders.RESUME_AFTER)));
	}

	private static Optional<String> apiKey(HttpHeaders headers) {
		String value = headers.get(PlatformHeaders.AUTHORIZATION);
		boolean hasScheme = value != null && value.regionMatches(true, 0, PlatformHeaders.AUTHORIZATION_SCHEME, 0,
				PlatformHeaders.AUTHORIZATION_SCHEME.length());
		return hasScheme ? Optional.of(value.substring(PlatformHeaders.AUTHORIZATION_SCHEME.length()).trim())
				: Optional.empty();
	}

	private static Optional<TokenCounts> tokenCounts(HttpHeaders headers) {
		int[] numbers = parseNumbers(headers.get(PlatformHeaders.TOKEN_COUNTS), 2);
		return (numbers != null) ? Optional.of(new TokenCounts(numbers[0], numbers[1])) : Optional.empty();
	}

	private static List<String> sharedPromptParts(HttpHeaders headers) {
		List<String> identifiers = headers.getAll(PlatformHeaders.PROMPT_PARTS)
			.stream()
			.flatMap(PlatformExchangeCodec::elements)
			.map((part) -> PlatformHeaders.lowerCase(part.split(":", 2)[0].trim()))
			.limit(MAXIMUM_PROMPT_PARTS)
			.toList();
		return identifiers.stream()
			.limit(Math.max(0, identifiers.size() - 1))
			.filter((identifier) -> !identifier.isEmpty() && identifier.length() <= MAXIMUM_PART_LENGTH)
			.toList();
	}

	// A regular expression that takes the blanks around a comma as well would try each
	// blank as the begin of a run, on the event loop.
	private static Stream<String> elements(String list) {
		return Arrays.stream(list.split(",")).map(String::trim);
	}

	private static int[] parseNumbers(String text, int count) {
		String[] elements = (text != null) ? text.split(",") : new String[0];
		if (elements.length < count) {
			return null;
		}
		int[] numbers = new int[count];
		for (int index = 0; index < count; index++) {
			Optional<BigDecimal> number = parseNumber(elements[index])
				.filter((value) -> value.signum() >= 0 && value.compareTo(MAXIMUM_COUNT) <= 0);
			if (number.isEmpty()) {
				return null;
			}
			numbers[index] = number.get().intValue();
		}
		return numbers;
	}

	// A malformed number is treated as missing. It doesn't affect whether its header is
	// forwarded.
	private static Optional<BigDecimal> parseNumber(String text) {
		if (text == null || text.length() > MAXIMUM_NUMBER_LENGTH) {
			return Optional.empty();
		}
		try {
			return Optional.of(new BigDecimal(text.trim()));
		}
		catch (NumberFormatException ex) {
			return Optional.empty();
		}
	}

	private static Optional<Duration> parseMilliseconds(String text) {
		return parseNumber(text).map((value) -> value.min(MAXIMUM_MILLISECONDS).max(MAXIMUM_MILLISECONDS.negate()))
			.map((value) -> Duration.ofMillis(hasIntegerDigits(value) ? value.longValue() : 0));
	}

	// Rounding a number with a large exponent writes all its digits out, which takes the
	// event loop seconds.
	private static boolean hasIntegerDigits(BigDecimal value) {
		return value.precision() > value.scale();
	}

	private static Optional<Duration> parseSeconds(String text) {
		return parseNumber(text).filter((value) -> value.signum() >= 0)
			.map((value) -> Duration.ofMillis(value.min(MAXIMUM_SECONDS).movePointRight(3).longValue()));
	}

	@Override
	public HttpHeaders forwardableHeaders(HttpRequest request) {
		return forwardedHeaders(request.headers(), true);
	}

	@Override
	public HttpHeaders targetHeaders(HttpRequest request, ForwardingMetadata forwarding) {
		HttpHeaders headers = forwardableHeaders(request);
		headers.set(PlatformHeaders.EXPECTED_INSTANCE, forwarding.target().value());
		forwarding.timeLeft()
			.ifPresent((timeLeft) -> headers.set(PlatformHeaders.TIME_LEFT, Math.max(1, timeLeft.toMillis())));
		forwarding.workspace().ifPresent((workspace) -> headers.set(PlatformHeaders.WORKSPACE, workspace.value()));
		headers.set(PlatformHeaders.PRIORITY, forwarding.priority());
		forwarding.resumeAfter()
			.ifPresent((eventIdentifier) -> headers.set(PlatformHeaders.RESUME_AFTER, eventIdentifier));
		forwarding.weightsVersion()
			.ifPresent((version) -> headers.set(PlatformHeaders.EXPECTED_WEIGHTS_VERSION, version));
		return headers;
	}

	private static HttpHeaders forwardedHeaders(HttpHeaders received, boolean toTarget) {
		Set<String> connectionHeaders = received.getAll(HttpHeaderNames.CONNECTION)
			.stream()
			.flatMap(PlatformExchangeCodec::elements)
			.map(PlatformHeaders::lowerCase)
			.collect(Collectors.toSet());
		HttpHeaders headers = new DefaultHttpHeaders(false);
		for (Map.Entry<String, String> header : received) {
			boolean dropped = PlatformHeaders.isHopByHop(header.getKey())
					|| (toTarget && PlatformHeaders.isSystemHeader(header.getKey()))
					|| connectionHeaders.contains(PlatformHeaders.lowerCase(header.getKey()));
			if (!dropped) {
				headers.add(header.getKey(), header.getValue());
			}
		}
		return headers;
	}

	@Override
	public TargetResponseHead readTargetResponse(HttpResponse response) {
		HttpHeaders headers = response.headers();
		return new TargetResponseHead(readAnswerIdentifier(response), headers.contains(PlatformHeaders.NOT_EXECUTED),
				response.status().code() == MISDIRECTED_REQUEST, headers.contains(PlatformHeaders.SERVER_SIGNATURE),
				new TargetReport(engineLoad(headers), rateLimit(headers), rest(response),
						LEAVING.equals(headers.get(PlatformHeaders.LEAVING, "").trim())),
				Optional.ofNullable(headers.get(PlatformHeaders.WEIGHTS_VERSION)), idleTimeout(headers));
	}

	// Several lines of a header are one list: an answer that names two requests is the
	// answer to neither.
	@Override
	public Optional<String> readAnswerIdentifier(HttpResponse response) {
		List<String> identifiers = response.headers().getAll(PlatformHeaders.ATTEMPT_IDENTIFIER);
		return identifiers.isEmpty() ? Optional.empty()
				: Optional.of(identifiers.stream().distinct().collect(Collectors.joining(", ")));
	}

	private static Optional<Duration> rest(HttpResponse response) {
		boolean refused = response.status().equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
				|| response.status().equals(HttpResponseStatus.TOO_MANY_REQUESTS);
		return refused ? parseSeconds(response.headers().get(PlatformHeaders.RETRY_AFTER)) : Optional.empty();
	}

	private static Optional<EngineLoad> engineLoad(HttpHeaders headers) {
		int[] numbers = parseNumbers(headers.get(PlatformHeaders.ENGINE_LOAD), 3);
		return (numbers != null) ? Optional.of(new EngineLoad(numbers[0], numbers[1], numbers[2])) : Optional.empty();
	}

	private static Optional<RequestRate> rateLimit(HttpHeaders headers) {
		return parseNumber(headers.get(PlatformHeaders.RATE_LIMIT)).map(BigDecimal::doubleValue)
			.filter((perSecond) -> Double.isFinite(perSecond) && perSecond >= 0)
			.map(RequestRate::new);
	}

	private static Optional<Duration> idleTimeout(HttpHeaders headers) {
		String value = headers.get(PlatformHeaders.KEEP_ALIVE);
		if (value == null) {
			return Optional.empty();
		}
		return elements(value).filter((parameter) -> parameter.startsWith(IDLE_TIMEOUT_PARAMETER))
			.findFirst()
			.flatMap((parameter) -> parseSeconds(parameter.substring(IDLE_TIMEOUT_PARAMETER.length())));
	}

	@Override
	public HttpHeaders callerHeaders(HttpResponse response) {
		return forwardedHeaders(response.headers(), false);
	}

	@Override
	public HttpHeaders localAnswerHeaders(String identifier, Optional<Duration> retryAfter) {
		HttpHeaders headers = new DefaultHttpHeaders();
		headers.set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
		if (!identifier.isEmpty()) {
			headers.set(PlatformHeaders.ATTEMPT_IDENTIFIER, identifier);
		}
		retryAfter.ifPresent((delay) -> headers.set(PlatformHeaders.RETRY_AFTER,
				BigDecimal.valueOf(delay.toMillis(), 3).toPlainString()));
		return headers;
	}

	@Override
	public String readinessPath() {
		return READINESS_PATH;
	}

	@Override
	public IncarnationCodec incarnations() {
		return this.incarnations;
	}

}
