/**
 * @file
 * The GError domain of errors in settings files and command lines.
 *
 * Messages are shown to operators unchanged; codes distinguish the causes.
 */
#ifndef OW_CONFIG_CONFIG_ERROR_H
#define OW_CONFIG_CONFIG_ERROR_H

#include <glib.h>

G_BEGIN_DECLS

/** Why a settings file or a command line is rejected. */
enum ow_config_error {
    OW_CONFIG_ERROR_UNREADABLE,      /**< the file can't be opened or read */
    OW_CONFIG_ERROR_SYNTAX,          /**< not valid TOML or XML, or a wrong root element */
    OW_CONFIG_ERROR_MISSING_FIELD,   /**< a required field, attribute or option is missing or empty */
    OW_CONFIG_ERROR_MALFORMED_VALUE, /**< a value of the wrong type or format */
    OW_CONFIG_ERROR_OUT_OF_RANGE,    /**< a value or a length is out of range */
    OW_CONFIG_ERROR_UNKNOWN_NAME,    /**< an unknown attribute */
    OW_CONFIG_ERROR_INCONSISTENT,    /**< values that are valid individually contradict each other */
};

/** The GError domain whose codes are `enum ow_config_error`. */
#define OW_CONFIG_ERROR (ow_config_error_quark())

/** The quark behind OW_CONFIG_ERROR. */
GQuark ow_config_error_quark(void);

G_END_DECLS

#endif
