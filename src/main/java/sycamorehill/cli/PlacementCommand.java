package sycamorehill.cli;

import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;

import sycamorehill.entry.PlacementPage;
import sycamorehill.http.HttpAnswer;
import sycamorehill.http.HttpHeader;
import sycamorehill.model.serving.PlacementExplanation;

/**
 * Asks a node where a request would go now, and why. The node sends nothing.
 */
@Command(name = "placement",
		description = "Explains where a node would send a request now, and why; nothing is sent or changed")
public final class PlacementCommand extends NodeCommand {

	private static final int OK = 200;

	private static final int BAD_REQUEST = 400;

	@Option(name = "--host", title = "HOST", description = "Host that the caller addresses")
	@Required
	private String host;

	@Option(name = "--path", title = "PATH", description = "Path that the caller requests")
	@Required
	private String path;

	@Option(name = "--key", title = "KEY", description = "Key of the workspace; none for anonymous callers")
	private String key;

	@Option(name = "--model", title = "MODEL", description = "Requested model")
	private String model;

	@Option(name = "--tokens", title = "PROMPT,ANSWER", description = "Sizes of the prompt and the answer")
	private String tokens;

	@Override
	public int run() throws Exception {
		HttpAnswer answer = get(PlacementPage.PATH + "?host=" + encode(this.host) + "&path=" + encode(this.path)
				+ parameter("model", this.model) + parameter("tokens", this.tokens), headers());
		if (answer.status() == BAD_REQUEST) {
			throw CommandException.of(ExitCode.BAD_USAGE, answer.body());
		}
		PlacementExplanation explanation = explanation(answer);
		if (answer.status() != OK) {
			throw CommandException.of(ExitCode.REFUSED,
					explanation.refusal()
						.map((refusal) -> "refused with status " + refusal.status() + ": " + refusal.cause())
						.orElse("status " + answer.status()));
		}
		print(answer, () -> PlacementText.format(explanation).forEach(System.out::println));
		return explanation.refusal().isPresent() ? ExitCode.REFUSED : ExitCode.DONE;
	}

	private PlacementExplanation explanation(HttpAnswer answer) throws IOException {
		boolean isExplanation = answer.header("Content-Type")
			.filter((type) -> type.startsWith("application/json"))
			.isPresent();
		if (!isExplanation) {
			throw CommandException.of(ExitCode.NOT_KNOWN,
					"status " + answer.status() + ": there is no explanation at this address; it must be the node's "
							+ "message address, and its version must have the page");
		}
		return value(answer, PlacementExplanation.class);
	}

	private List<HttpHeader> headers() {
		return Optional.ofNullable(this.key)
			.map((value) -> List.of(HttpHeader.of(PlacementPage.KEY_HEADER, value)))
			.orElse(List.of());
	}

	private static String parameter(String name, String value) {
		return (value != null) ? '&' + name + '=' + encode(value) : "";
	}

	private static String encode(String value) {
		return URLEncoder.encode(value, StandardCharsets.UTF_8);
	}

}
