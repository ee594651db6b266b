#include "model/operator_view.h"

struct ow_controllers_view *ow_controllers_view_new(void)
{
    struct ow_controllers_view *view = g_new0(struct ow_controllers_view, 1);
    view->controllers = g_array_new(FALSE, FALSE, sizeof(struct ow_controller_view));
    return view;
}

void ow_controllers_view_free(struct ow_controllers_view *view)
{
    g_array_free(view->controllers, TRUE);
    g_free(view);
}

static void clear_shard_view(void *item)
{
    struct ow_shard_view *view = item;
    g_array_free(view->steps, TRUE);
}

GArray *ow_shard_views_new(void)
{
    GArray *views = g_array_new(FALSE, FALSE, sizeof(struct ow_shard_view));
    g_array_set_clear_func(views, clear_shard_view);
    return views;
}
