package operator

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"lentilward.org/lentilctl/render"
)

// maxTenantsBytes bounds the reply of one instance.
const maxTenantsBytes = 4 << 20

// tenantStatus is what an instance, or all together, know of one tenant.
type tenantStatus struct {
	Name     string  `json:"name"`
	Rate     float64 `json:"rate"`
	Burst    float64 `json:"burst"`
	Home     string  `json:"home"`
	Use      float64 `json:"use"`
	Asked    int     `json:"asked"`
	Allowed  int     `json:"allowed"`
	Refused  int     `json:"refused"`
	Fallback int     `json:"fallback"`
	Lent     int     `json:"lent"`
	// Homes are the homes that the instances name; more than one while they disagree.
	Homes []string `json:"homes"`
}

// Tenants prints the tenants with the sums over all instances, which are given by the
// addresses of their monitors. Instances that do not reply are named.
func Tenants(instances []string, timeout time.Duration, p *render.Printer) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	sums, missing := make(map[string]*tenantStatus), []string(nil)
	for _, address := range instances {
		tenants, err := fetchTenants(ctx, address)
		if err != nil {
			missing = append(missing, fmt.Sprintf("%s: %v", address, err))
			continue
		}
		addTenants(sums, tenants)
	}
	if len(missing) == len(instances) {
		return merry.Errorf("no instance replied: %s", strings.Join(missing, "; "))
	}
	for _, m := range missing {
		p.PrintLine("not included: %s", m)
	}
	list := slices.SortedFunc(maps.Values(sums), func(a, b *tenantStatus) int { return cmp.Compare(a.Name, b.Name) })
	var rows [][]string
	for _, t := range list {
		rows = append(rows, []string{
			t.Name, fmt.Sprint(t.Rate), fmt.Sprint(t.Burst), fmt.Sprintf("%.2f", t.Use), fmt.Sprint(t.Asked), fmt.Sprint(t.Allowed),
			fmt.Sprint(t.Refused), fmt.Sprint(t.Fallback), fmt.Sprint(t.Lent), strings.Join(t.Homes, " "),
		})
	}
	return p.Print(list, []string{"TENANT", "RATE", "BURST", "USE", "ASKED", "ALLOWED", "REFUSED", "FALLBACK", "LENT", "HOME"}, rows)
}

// addTenants adds what one instance knows to the sums.
func addTenants(sums map[string]*tenantStatus, tenants []tenantStatus) {
	for _, t := range tenants {
		sum := sums[t.Name]
		if sum == nil {
			sum = &tenantStatus{Name: t.Name, Rate: t.Rate, Burst: t.Burst}
			sums[t.Name] = sum
		}
		sum.Asked += t.Asked
		sum.Allowed += t.Allowed
		sum.Refused += t.Refused
		sum.Fallback += t.Fallback
		sum.Lent += t.Lent
		sum.Use = max(sum.Use, t.Use)
		if t.Home != "" && !slices.Contains(sum.Homes, t.Home) {
			sum.Homes = append(sum.Homes, t.Home)
		}
		if sum.Home == "" {
			sum.Home = t.Home
		}
	}
}

func fetchTenants(ctx context.Context, address string) ([]tenantStatus, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/tenants", nil)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, merry.Errorf("status %s", response.Status)
	}
	var tenants []tenantStatus
	if err := json.NewDecoder(http.MaxBytesReader(nil, response.Body, maxTenantsBytes)).Decode(&tenants); err != nil {
		return nil, merry.Wrap(err)
	}
	return tenants, nil
}
