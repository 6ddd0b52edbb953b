package sycamorehill.model.serving;

/**
 * A parsed configuration with its text in the store.
 *
 * @param configuration the configuration
 * @param text its text in the store, which is sent to other nodes
 */
public record StoredConfiguration(Configuration configuration, String text) {
}
