package sycamorehill.settings;

import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.membership.NodeContact;
import sycamorehill.model.policy.GroupPolicy;
import sycamorehill.model.policy.GroupWeights;
import sycamorehill.model.policy.MembershipPolicy;
import sycamorehill.model.policy.Policy;

/**
 * Reads a node's settings.
 */
public final class NodeSettingsReader {

	private static final String NODE = "node";

	private static final String PLATFORM = "platform";

	private static final String MEMBERSHIP = "membership";

	private static final String GROUP = "group";

	private static final int CONTACT_PARTS = 3;

	private static final int SHORTEST_SECRET = 16;

	private NodeSettingsReader() {
	}

	/**
	 * Reads a file.
	 * @param file the file
	 * @return the settings or every fault
	 */
	public static SettingsOutcome<NodeSettings> read(Path file) {
		return read(SettingsSource.read(file));
	}

	/**
	 * Reads a text.
	 * @param text the settings in INI
	 * @return the settings or every fault
	 */
	public static SettingsOutcome<NodeSettings> parse(String text) {
		return read(SettingsSource.parse(text));
	}

	private static SettingsOutcome<NodeSettings> read(SettingsSource source) {
		NodeSettings settings = new NodeSettings(NodeName.of(source.requiredText(NODE, "name")),
				DataCentreName.of(source.requiredText(NODE, "data-centre")), dataCentres(source),
				source.requiredAddress(NODE, "caller-address"), source.requiredAddress(NODE, "operator-address"),
				source.requiredAddress(NODE, "peer-address"), source.requiredAddress(PLATFORM, "address"),
				secret(source), policy(source));
		checkTogether(source, settings);
		List<SettingFault> faults = source.faults();
		return faults.isEmpty() ? new SettingsOutcome.Sound<>(settings) : new SettingsOutcome.Faulty<>(faults);
	}

	private static List<DataCentreName> dataCentres(SettingsSource source) {
		List<String> names = source.list(NODE, "data-centres", List.of());
		if (names.isEmpty()) {
			source.fault(NODE, "data-centres", "missing: expected all data centres with commas between them");
		}
		return names.stream().filter((name) -> !name.isEmpty()).map(DataCentreName::of).toList();
	}

	private static String secret(SettingsSource source) {
		String secret = source.requiredText(NODE, "shared-secret");
		if (secret.length() < SHORTEST_SECRET && !secret.equals("missing")) {
			source.fault(NODE, "shared-secret", "expected at least " + SHORTEST_SECRET + " characters");
		}
		return secret;
	}

	private static Policy policy(SettingsSource source) {
		Policy standard = Policy.standard();
		return new Policy(PolicySection.read(source, "admission", standard.admission()),
				PolicySection.read(source, "routing", standard.routing()),
				PolicySection.read(source, "request", standard.request()),
				PolicySection.read(source, "health", standard.health()),
				PolicySection.read(source, "quarantine", standard.quarantine()),
				PolicySection.read(source, "order", standard.order()),
				PolicySection.read(source, "ticket", standard.ticket()), membership(source, standard.membership()),
				group(source, standard.group()), PolicySection.read(source, "observation", standard.observation()));
	}

	private static MembershipPolicy membership(SettingsSource source, MembershipPolicy standard) {
		List<NodeContact> contacts = source.value(MEMBERSHIP, "contacts",
				"NAME@DATA-CENTRE@HOST:PORT with commas between", NodeSettingsReader::contacts, (found) -> true,
				List.of());
		return PolicySection.read(source, MEMBERSHIP, standard).withContacts(contacts);
	}

	private static List<NodeContact> contacts(String text) {
		return Arrays.stream(text.split(",")).map(String::strip).map(NodeSettingsReader::contact).toList();
	}

	private static NodeContact contact(String text) {
		String[] parts = text.split("@");
		if (parts.length != CONTACT_PARTS) {
			throw new IllegalArgumentException("not NAME@DATA-CENTRE@HOST:PORT: " + text);
		}
		return new NodeContact(NodeName.of(parts[0]), DataCentreName.of(parts[1]), Address.parse(parts[2]));
	}

	private static GroupPolicy group(SettingsSource source, GroupPolicy standard) {
		double downtimeShare = source.number(GROUP, "downtime-share", 0, 1, GroupWeights.standard().downtimeShare());
		return PolicySection.read(source, GROUP, standard).withWeights(new GroupWeights(downtimeShare));
	}

	private static void checkTogether(SettingsSource source, NodeSettings settings) {
		if (!settings.dataCentres().isEmpty() && !settings.dataCentres().contains(settings.dataCentre())) {
			source.fault(NODE, "data-centre", "expected one of data-centres " + settings.dataCentres());
		}
		Set<Address> addresses = new HashSet<>();
		checkFree(source, addresses, "caller-address", settings.callerAddress());
		checkFree(source, addresses, "operator-address", settings.operatorAddress());
		checkFree(source, addresses, "peer-address", settings.peerAddress());
	}

	private static void checkFree(SettingsSource source, Set<Address> taken, String key, Address address) {
		if (address.port() > 1 && !taken.add(address)) {
			source.fault(NODE, key, "expected an address that no other server of the node has");
		}
	}

}
