/**
 * @file
 * The causes for which a process can't be configured, by its settings files or its command line: their error
 * domain.
 *
 * The message of such an error is shown to operators as it is; the code tells causes apart.
 */
#ifndef OW_CONFIG_CONFIG_ERROR_H
#define OW_CONFIG_CONFIG_ERROR_H

#include <glib.h>

G_BEGIN_DECLS

/** Why a file or a command line can't be used. */
enum ow_config_error {
    OW_CONFIG_ERROR_UNREADABLE,      /**< the file can't be opened or read */
    OW_CONFIG_ERROR_SYNTAX,          /**< it is no TOML or XML, or its root is another one */
    OW_CONFIG_ERROR_MISSING_FIELD,   /**< a field, attribute or option that is needed is missing or empty */
    OW_CONFIG_ERROR_MALFORMED_VALUE, /**< a value of another kind: a string for a number, no address */
    OW_CONFIG_ERROR_OUT_OF_RANGE,    /**< a value or a length outside its range */
    OW_CONFIG_ERROR_UNKNOWN_NAME,    /**< an attribute that does not exist */
    OW_CONFIG_ERROR_INCONSISTENT,    /**< values that are right alone and contradict each other */
};

/** The domain of the codes of `enum ow_config_error`. */
#define OW_CONFIG_ERROR (ow_config_error_quark())

/** What OW_CONFIG_ERROR stands for. */
GQuark ow_config_error_quark(void);

G_END_DECLS

#endif
