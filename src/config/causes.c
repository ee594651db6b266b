#include "config/causes.h"

G_DEFINE_QUARK(ow - config - error - quark, ow_config_error)
