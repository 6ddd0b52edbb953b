package sycamorehill.entry;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.QueryStringDecoder;

import sycamorehill.json.ModelJson;
import sycamorehill.model.serving.CallerRequest;
import sycamorehill.model.serving.PlacementExplanation;
import sycamorehill.model.serving.TokenCounts;

/**
 * Page that explains where a request would go now. The query describes the request; the
 * key is in a header, because the paths of pages may be logged on the way.
 */
public final class PlacementPage {

	/** Path of the page. */
	public static final String PATH = "/placement";

	/** Header with the key of the workspace. */
	public static final String KEY_HEADER = "Workspace-Key";

	private static final String HOST = "host";

	private static final String REQUEST_PATH = "path";

	private static final String MODEL = "model";

	private static final String TOKENS = "tokens";

	private static final Set<String> PARAMETERS = Set.of(HOST, REQUEST_PATH, MODEL, TOKENS);

	private static final Pattern TOKEN_COUNTS = Pattern.compile("(\\d{1,9}),(\\d{1,9})");

	/** Number that no request has: the explained one is never sent. */
	private static final long NO_NUMBER = -1;

	private final Function<CallerRequest, PlacementExplanation> explainer;

	/** Created with the first page: nodes are short of memory. */
	private ObjectMapper json;

	private PlacementPage(Function<CallerRequest, PlacementExplanation> explainer) {
		this.explainer = explainer;
	}

	static PlacementPage of(Function<CallerRequest, PlacementExplanation> explainer) {
		return new PlacementPage(explainer);
	}

	/**
	 * Returns whether a page is this one.
	 * @param uri the requested path and query
	 * @return true if it is
	 */
	static boolean isAskedFor(String uri) {
		return uri.equals(PATH) || uri.startsWith(PATH + '?');
	}

	/**
	 * Returns the page.
	 * @param uri the requested path and query
	 * @param headers the headers
	 * @return the page
	 */
	PageServer.Page read(String uri, HttpHeaders headers) {
		try {
			PlacementExplanation explanation = this.explainer.apply(request(uri, headers));
			HttpResponseStatus status = explanation.refusal()
				.filter((refusal) -> explanation.route().isEmpty())
				.map((refusal) -> HttpResponseStatus.valueOf(refusal.status()))
				.orElse(HttpResponseStatus.OK);
			return new PageServer.Page(status, "application/json", json().writeValueAsString(explanation));
		}
		catch (BadQuestionException ex) {
			return new PageServer.Page(HttpResponseStatus.BAD_REQUEST, "text/plain", ex.getMessage());
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("an explanation can't be encoded", ex);
		}
	}

	private ObjectMapper json() {
		if (this.json == null) {
			this.json = ModelJson.json();
		}
		return this.json;
	}

	private static CallerRequest request(String uri, HttpHeaders headers) {
		Map<String, List<String>> parameters = parameters(uri);
		String host = required(parameters, HOST).toLowerCase(Locale.ROOT);
		int colon = host.lastIndexOf(':');
		String path = required(parameters, REQUEST_PATH);
		int query = path.indexOf('?');
		return new CallerRequest(NO_NUMBER, "explanation",
				(colon > 0 && !host.endsWith("]")) ? host.substring(0, colon) : host,
				(query < 0) ? path : path.substring(0, query), Optional.ofNullable(headers.get(KEY_HEADER)),
				optional(parameters, MODEL), optional(parameters, TOKENS).map(PlacementPage::tokenCounts), List.of(),
				Optional.empty(), 0);
	}

	// No message repeats what was asked: a key may be where it doesn't belong.
	private static Map<String, List<String>> parameters(String uri) {
		Map<String, List<String>> parameters = decode(uri);
		if (!PARAMETERS.containsAll(parameters.keySet())) {
			throw new BadQuestionException(
					"the query has parameters other than host, path, model and tokens; the key belongs in the header "
							+ KEY_HEADER);
		}
		if (parameters.values().stream().anyMatch((values) -> values.size() > 1)) {
			throw new BadQuestionException("the query has a parameter twice");
		}
		return parameters;
	}

	private static Map<String, List<String>> decode(String uri) {
		try {
			return new QueryStringDecoder(uri).parameters();
		}
		catch (IllegalArgumentException ex) {
			throw new BadQuestionException("the query can't be decoded");
		}
	}

	private static Optional<String> optional(Map<String, List<String>> parameters, String name) {
		return parameters.getOrDefault(name, List.of()).stream().filter((value) -> !value.isEmpty()).findFirst();
	}

	private static String required(Map<String, List<String>> parameters, String name) {
		return optional(parameters, name)
			.orElseThrow(() -> new BadQuestionException("the parameter '" + name + "' is missing"));
	}

	private static TokenCounts tokenCounts(String text) {
		Matcher matcher = TOKEN_COUNTS.matcher(text);
		if (!matcher.matches()) {
			throw new BadQuestionException("the parameter 'tokens' must be PROMPT,ANSWER, two whole numbers");
		}
		return new TokenCounts(Integer.parseInt(matcher.group(1)), Integer.parseInt(matcher.group(2)));
	}

	/**
	 * Thrown for a query that describes no request.
	 */
	private static final class BadQuestionException extends RuntimeException {

		private static final long serialVersionUID = 1L;

		BadQuestionException(String message) {
			super(message);
		}

	}

}
