#include "agent/lease.h"

#include <stdatomic.h>
#include <sys/mman.h>
#include <time.h>

static const double SECONDS_PER_NANOSECOND = 1e-9;

/* Memory shared by the agent and the supervisors. */
struct page {
    _Atomic double expires_at; /* by agent_clock_now() */
};

struct agent_lease {
    double lease_s; /* duration that a renewal grants */
    struct page *page;
};

double agent_clock_now(void)
{
    struct timespec now;
    clock_gettime(CLOCK_BOOTTIME, &now);
    return (double)now.tv_sec + (double)now.tv_nsec * SECONDS_PER_NANOSECOND;
}

struct agent_lease *agent_lease_new(double lease_s)
{
    void *page = mmap(NULL, sizeof(struct page), PROT_READ | PROT_WRITE, MAP_SHARED | MAP_ANONYMOUS, -1, 0);
    if (page == MAP_FAILED)
        return NULL;
    struct agent_lease *lease = g_new0(struct agent_lease, 1);
    lease->lease_s = lease_s;
    lease->page = page;
    agent_lease_restart(lease);
    return lease;
}

void agent_lease_free(struct agent_lease *lease)
{
    if (lease == NULL)
        return;
    munmap(lease->page, sizeof(struct page));
    g_free(lease);
}

void agent_lease_renew(struct agent_lease *lease, double sent_at)
{
    double expires_at = sent_at + lease->lease_s;
    if (expires_at > atomic_load(&lease->page->expires_at))
        atomic_store(&lease->page->expires_at, expires_at);
}

void agent_lease_restart(struct agent_lease *lease)
{
    atomic_store(&lease->page->expires_at, agent_clock_now() + lease->lease_s);
}

double agent_lease_expires_at(const struct agent_lease *lease)
{
    return atomic_load(&lease->page->expires_at);
}

bool agent_lease_is_expired(const struct agent_lease *lease)
{
    return agent_clock_now() > agent_lease_expires_at(lease);
}
