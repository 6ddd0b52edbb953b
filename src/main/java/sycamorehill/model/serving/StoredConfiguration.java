package sycamorehill.model.serving;

/**
 * A configuration as it was read, and as it stands in the store.
 *
 * @param configuration the configuration
 * @param text its text in the store, for other nodes
 */
public record StoredConfiguration(Configuration configuration, String text) {
}
