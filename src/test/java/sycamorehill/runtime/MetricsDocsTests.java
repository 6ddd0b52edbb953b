package sycamorehill.runtime;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

import sycamorehill.local.FreePorts;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.policy.Policy;
import sycamorehill.settings.NodeSettings;

/**
 * Guards against metrics of a node that are missing from the table in docs/METRICS.md.
 */
class MetricsDocsTests {

	private static final Pattern NAME = Pattern.compile("`([a-z]+\\.[a-z.*-]+)`");

	@Test
	void documentationListsEveryMetricOfStartedNode() throws Exception {
		List<Address> addresses = FreePorts.find(4);
		DataCentreName dataCentre = DataCentreName.of("fukuoka");
		NodeSettings settings = new NodeSettings(NodeName.of("n"), dataCentre, List.of(dataCentre), addresses.get(0),
				addresses.get(1), addresses.get(2), addresses.get(3), "metrics-test-secret", Policy.standard());
		try (Node node = Node.start(settings, Clock.systemUTC())) {
			Set<String> documented = readDocumentedNames();
			Assertions.assertThat(node.metricNames())
				.allMatch((name) -> documented.contains(name) || documented.contains(name.replaceAll("[^.]+$", "*")));
		}
	}

	private static Set<String> readDocumentedNames() throws Exception {
		Set<String> names = new TreeSet<>();
		Matcher matcher = NAME.matcher(Files.readString(Path.of("docs/METRICS.md")));
		while (matcher.find()) {
			names.add(matcher.group(1));
		}
		return names;
	}

}
