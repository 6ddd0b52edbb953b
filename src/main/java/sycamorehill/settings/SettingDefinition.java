package sycamorehill.settings;

/**
 * Describes one setting of a file.
 *
 * @param section name of the section
 * @param key key within the section
 * @param expected description of the expected value
 * @param defaultValue value that applies if the setting is omitted; empty if the setting
 * is required
 */
public record SettingDefinition(String section, String key, String expected, String defaultValue) {

}
