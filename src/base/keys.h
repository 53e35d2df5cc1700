/* Keys of the state service. Each is owned by one folder of src/, which documents its value. They
 * are declared together because other folders compare them, delete them, or dispatch by them.
 * Never renamed: earlier versions read them. */
#ifndef PM_BASE_KEYS_H
#define PM_BASE_KEYS_H

/* The prefix of all keys of this project. */
#define PM_KEY_ROOT "p/"

/* leadership */
#define PM_KEY_EPOCH "p/epoch"
#define PM_KEY_LEADER_LOCK "p/lead"
/* The protocol version that all controllers can read. */
#define PM_KEY_COMMON_VERSION "p/speaks"
/* p/speaks/CONTROLLER: the protocol version that this controller runs. */
#define PM_KEY_VERSION_PREFIX "p/speaks/"
/* p/seen/CONTROLLER: the revision that this controller's replica has reached. */
#define PM_KEY_ACKED_REVISION_PREFIX "p/seen/"

/* jobs */
/* p/j/JOB */
#define PM_KEY_JOB_PREFIX "p/j/"
/* p/t/JOB/CHUNK, or p/t/JOB/CHUNK/HALF with a half of 0 or 1. */
#define PM_KEY_CHUNK_PREFIX "p/t/"
/* p/n/JOB/LIST, where LIST numbers the lists over which the job's dependencies are spread. */
#define PM_KEY_DEPENDENCY_LIST_PREFIX "p/n/"

/* scheduler */
#define PM_KEY_LEDGER "p/ledger"

/* autoscaler */
#define PM_KEY_MACHINE_TYPES "p/types"

/* shards */
/* p/b/CONTROLLER: the shard that this controller owns. */
#define PM_KEY_SHARD_PREFIX "p/b/"

/* roles */
/* p/duty/ROLE */
#define PM_KEY_ROLE_PREFIX "p/duty/"
/* p/drain/ROLE */
#define PM_KEY_DRAIN_PREFIX "p/drain/"
/* p/intent/INTENT */
#define PM_KEY_INTENT_PREFIX "p/intent/"

/* links */
/* p/links/CONTROLLER */
#define PM_KEY_VIEW_PREFIX "p/links/"

#endif
