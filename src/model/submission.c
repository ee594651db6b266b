#include "model/submission.h"

void ow_submission_free(struct ow_submission *submission)
{
    if (submission == NULL)
        return;
    g_free(submission->id);
    g_free(submission->class_name);
    g_free(submission->team);
    g_free(submission->image);
    g_strfreev(submission->types);
    g_free(submission->zone);
    g_free(submission);
}
