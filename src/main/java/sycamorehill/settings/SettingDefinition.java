package sycamorehill.settings;

/**
 * One setting that a reader asks for.
 *
 * @param section the section
 * @param key the key
 * @param expected what is expected
 * @param defaultValue the value that holds if nothing is given, empty if one must be
 * given
 */
public record SettingDefinition(String section, String key, String expected, String defaultValue) {

}
