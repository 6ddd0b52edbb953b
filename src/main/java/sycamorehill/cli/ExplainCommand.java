package sycamorehill.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;

import sycamorehill.explain.RequestExplanation;

/**
 * Tells what became of a request, from the logs of all nodes.
 */
@Command(name = "explain",
		description = "Tells what became of a request and why, from logs in files or on standard input")
public final class ExplainCommand implements CliCommand {

	@Arguments(title = { "ID", "FILE" },
			description = "The caller's identifier of the attempt, then the logs, a file a node; without files standard input is read")
	@Required
	private List<String> words = new ArrayList<>();

	@Override
	public int run() {
		String request = this.words.get(0);
		Optional<RequestExplanation> story = RequestExplanation.find(lines(this.words.subList(1, this.words.size())),
				request);
		if (story.isEmpty()) {
			throw CommandException.of(ExitCode.NOT_KNOWN, "no line of these logs names request " + request);
		}
		story.get().format().forEach(System.out::println);
		return ExitCode.DONE;
	}

	private static List<RequestExplanation.SourceLine> lines(List<String> files) {
		List<RequestExplanation.SourceLine> lines = new ArrayList<>();
		try {
			for (String file : files) {
				String node = Path.of(file).getFileName().toString().replaceFirst("\\.[^.]*$", "");
				try (BufferedReader reader = reader(file)) {
					reader.lines().forEach((text) -> lines.add(new RequestExplanation.SourceLine(node, text)));
				}
			}
		}
		catch (IOException ex) {
			throw CommandException.of(ExitCode.BAD_USAGE, "a log can't be read: " + ex);
		}
		if (files.isEmpty()) {
			new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8)).lines()
				.forEach((text) -> lines.add(new RequestExplanation.SourceLine("standard-input", text)));
		}
		return lines;
	}

	// Logs may hold bytes of callers: whatever isn't UTF-8 is replaced, not refused.
	private static BufferedReader reader(String file) throws IOException {
		return new BufferedReader(new InputStreamReader(Files.newInputStream(Path.of(file)), StandardCharsets.UTF_8));
	}

}
