#include "agent/lease.h"

#include <glib.h>
#include <stdatomic.h>
#include <sys/mman.h>
#include <time.h>

/* Shared between processes. */
struct page {
    _Atomic double until;
};

struct agent_lease {
    double lease_s;
    struct page *page;
};

double agent_clock(void)
{
    struct timespec now;
    clock_gettime(CLOCK_BOOTTIME, &now);
    return (double)now.tv_sec + (double)now.tv_nsec * 1e-9;
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
    munmap(lease->page, sizeof(struct page));
    g_free(lease);
}

void agent_lease_renew(struct agent_lease *lease, double sent_at)
{
    double until = sent_at + lease->lease_s;
    if (until > atomic_load(&lease->page->until))
        atomic_store(&lease->page->until, until);
}

void agent_lease_restart(struct agent_lease *lease)
{
    atomic_store(&lease->page->until, agent_clock() + lease->lease_s);
}

double agent_lease_until(const struct agent_lease *lease)
{
    return atomic_load(&lease->page->until);
}

bool agent_lease_is_over(const struct agent_lease *lease)
{
    return agent_clock() > agent_lease_until(lease);
}
