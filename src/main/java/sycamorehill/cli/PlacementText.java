package sycamorehill.cli;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import sycamorehill.model.identity.RegionName;
import sycamorehill.model.serving.PlacementExplanation;

/**
 * Formats an explanation of a placement for people.
 */
final class PlacementText {

	private PlacementText() {
	}

	/**
	 * Formats an explanation.
	 * @param explanation the explanation
	 * @return the lines
	 */
	static List<String> format(PlacementExplanation explanation) {
		List<String> lines = new ArrayList<>();
		lines.add("node " + explanation.node().name() + " in " + explanation.node().dataCentre()
				+ region(explanation.node().region()) + ", configuration " + explanation.configurationVersion());
		explanation.route().ifPresent((route) -> lines.add(describe(route)));
		lines.add(explanation.workspace().map(PlacementText::describe).orElse("no workspace"));
		lines.add("targets: " + explanation.targets().size());
		explanation.targets().forEach((target) -> lines.add("  " + describe(target)));
		explanation.choice().ifPresent((choice) -> lines.add("choice: " + describe(choice)));
		explanation.refusal()
			.ifPresent((refusal) -> lines.add("refused with status " + refusal.status() + ": " + refusal.cause()));
		return lines;
	}

	private static String describe(PlacementExplanation.RouteView route) {
		return "route " + route.name() + ", service " + route.service()
				+ route.model().map((model) -> ", model " + model).orElse("") + ", "
				+ (route.homes().isRestricted() ? route.homes().describe() : "no home regions");
	}

	private static String describe(PlacementExplanation.WorkspaceView workspace) {
		return "workspace " + workspace.name() + ", priority " + workspace.priority()
				+ workspace.share().map((share) -> ", " + share).orElse("");
	}

	private static String describe(PlacementExplanation.TargetView target) {
		StringBuilder text = new StringBuilder();
		text.append(target.name()).append(" in ").append(target.dataCentre()).append(region(target.region()));
		text.append(": ").append(target.load().requests()).append(" of ").append(target.load().slots());
		text.append(" slots, ").append(age(target.load().reportAge()));
		text.append(", first answer in ").append(millis(target.expectedTime()));
		appendState(target, text);
		return text.toString();
	}

	private static void appendState(PlacementExplanation.TargetView target, StringBuilder text) {
		if (!target.resting().isZero()) {
			text.append(", rests for ").append(millis(target.resting()));
		}
		if (!target.ejected().isZero()) {
			text.append(", ejected for ").append(millis(target.ejected()));
		}
		target.limits().forEach((limit) -> text.append(", ").append(limit));
		target.leftOut().ifPresent((reason) -> text.append(", left out: ").append(reason));
	}

	private static String describe(PlacementExplanation.Choice choice) {
		return choice.target().map((target) -> "target " + target).orElse("any target")
				+ choice.proxy().map((node) -> " through node " + node).orElse("")
				+ choice.expectedTime().map((time) -> ", first answer in " + millis(time)).orElse("")
				+ choice.onTime().map((onTime) -> onTime ? ", on time" : ", late").orElse("");
	}

	private static String region(Optional<RegionName> region) {
		return region.map((known) -> " (region " + known + ")").orElse(" (region unknown)");
	}

	private static String age(Optional<Duration> reportAge) {
		return reportAge.map((age) -> "reported " + millis(age) + " ago").orElse("not reported");
	}

	private static String millis(Duration time) {
		return time.toMillis() + " ms";
	}

}
