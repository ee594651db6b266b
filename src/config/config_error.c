#include "config/config_error.h"

G_DEFINE_QUARK(ow_config_error, ow_config_error)
