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
 * Reads the settings of a node.
 */
public final class NodeSettingsReader {

	private static final String NODE = "node";

	private static final String PLATFORM = "platform";

	private static final String MEMBERSHIP = "membership";

	private static final String GROUP = "group";

	private static final int CONTACT_PARTS = 3;

	private static final int MINIMUM_SECRET_LENGTH = 16;

	private NodeSettingsReader() {
	}

	/**
	 * Reads settings from a file.
	 * @param file path of the INI file
	 * @return the settings, or all faults found
	 */
	public static SettingsOutcome<NodeSettings> read(Path file) {
		return read(SettingsSource.read(file));
	}

	/**
	 * Reads settings from a text.
	 * @param text the settings in INI format
	 * @return the settings, or all faults found
	 */
	public static SettingsOutcome<NodeSettings> parse(String text) {
		return read(SettingsSource.parse(text));
	}

	/**
	 * Returns the definitions of all settings of a node.
	 * @return the definitions in the order in which the settings are read
	 */
	public static List<SettingDefinition> definitions() {
		SettingsSource source = SettingsSource.parse("");
		read(source);
		return source.definitions();
	}

	private static SettingsOutcome<NodeSettings> read(SettingsSource source) {
		NodeSettings settings = new NodeSettings(NodeName.of(source.requiredText(NODE, "name")),
				DataCentreName.of(source.requiredText(NODE, "data-centre")), dataCentres(source),
				source.requiredAddress(NODE, "caller-address"), source.requiredAddress(NODE, "operator-address"),
				source.requiredAddress(NODE, "peer-address"), source.requiredAddress(PLATFORM, "address"),
				sharedSecret(source), policy(source));
		checkConsistency(source, settings);
		List<SettingFault> faults = source.collectFaults();
		return faults.isEmpty() ? new SettingsOutcome.Valid<>(settings) : new SettingsOutcome.Invalid<>(faults);
	}

	private static List<DataCentreName> dataCentres(SettingsSource source) {
		List<String> names = source.list(NODE, "data-centres", List.of());
		if (names.isEmpty()) {
			source.addFault(NODE, "data-centres", "missing: expected all data centres with commas between them");
		}
		return names.stream().filter((name) -> !name.isEmpty()).map(DataCentreName::of).toList();
	}

	private static String sharedSecret(SettingsSource source) {
		String secret = source.requiredText(NODE, "shared-secret");
		if (secret.length() < MINIMUM_SECRET_LENGTH && !secret.equals("missing")) {
			source.addFault(NODE, "shared-secret", "expected at least " + MINIMUM_SECRET_LENGTH + " characters");
		}
		return secret;
	}

	private static Policy policy(SettingsSource source) {
		Policy defaults = Policy.standard();
		return new Policy(PolicySectionReader.read(source, "admission", defaults.admission()),
				PolicySectionReader.read(source, "routing", defaults.routing()),
				PolicySectionReader.read(source, "request", defaults.request()),
				PolicySectionReader.read(source, "health", defaults.health()),
				PolicySectionReader.read(source, "quarantine", defaults.quarantine()),
				PolicySectionReader.read(source, "order", defaults.order()),
				PolicySectionReader.read(source, "ticket", defaults.ticket()),
				membership(source, defaults.membership()), group(source, defaults.group()),
				PolicySectionReader.read(source, "observation", defaults.observation()));
	}

	private static MembershipPolicy membership(SettingsSource source, MembershipPolicy defaults) {
		List<NodeContact> contacts = source.value(MEMBERSHIP, "contacts",
				"NAME@DATA-CENTRE@HOST:PORT with commas between", NodeSettingsReader::parseContacts, (parsed) -> true,
				List.of());
		return PolicySectionReader.read(source, MEMBERSHIP, defaults).withContacts(contacts);
	}

	private static List<NodeContact> parseContacts(String text) {
		return Arrays.stream(text.split(",")).map(String::strip).map(NodeSettingsReader::parseContact).toList();
	}

	private static NodeContact parseContact(String text) {
		String[] parts = text.split("@");
		if (parts.length != CONTACT_PARTS) {
			throw new IllegalArgumentException("not NAME@DATA-CENTRE@HOST:PORT: " + text);
		}
		return new NodeContact(NodeName.of(parts[0]), DataCentreName.of(parts[1]), Address.parse(parts[2]));
	}

	private static GroupPolicy group(SettingsSource source, GroupPolicy defaults) {
		double downtimeShare = source.number(GROUP, "downtime-share", 0, 1, GroupWeights.standard().downtimeShare());
		return PolicySectionReader.read(source, GROUP, defaults).withWeights(new GroupWeights(downtimeShare));
	}

	private static void checkConsistency(SettingsSource source, NodeSettings settings) {
		if (!settings.dataCentres().isEmpty() && !settings.dataCentres().contains(settings.dataCentre())) {
			source.addFault(NODE, "data-centre", "expected one of data-centres " + settings.dataCentres());
		}
		Set<Address> addresses = new HashSet<>();
		checkAddressUnused(source, addresses, "caller-address", settings.callerAddress());
		checkAddressUnused(source, addresses, "operator-address", settings.operatorAddress());
		checkAddressUnused(source, addresses, "peer-address", settings.peerAddress());
	}

	private static void checkAddressUnused(SettingsSource source, Set<Address> usedAddresses, String key,
			Address address) {
		// Port 1 belongs to the placeholder for a missing or malformed address.
		if (address.port() > 1 && !usedAddresses.add(address)) {
			source.addFault(NODE, key, "expected an address that no other server of the node has");
		}
	}

}
